package beampoint.buffer;

import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Buffer;

/**
 * A long value on its way from a source to a sink. It holds a window of bytes: a source is paused when that
 * is full, and goes on when half of it is free. Belongs to the decision thread.
 */
public final class Stream {

  /** Where the bytes come from. */
  public interface Source {
    /** More may be read. */
    void resume();

    /** Nobody wants the rest. */
    void cancel();
  }

  /** Where they go. */
  public interface Sink {
    void bytes(Buffer bytes);

    /** All bytes have come, and what followed them was right. */
    void complete();

    /** The rest will never come. */
    void failed();
  }

  private final long length;
  private final Budget budget;
  private final Source source;
  private final Deque<Buffer> waiting = new ArrayDeque<>(); // until there is a sink
  private Sink sink;
  private long unwritten;
  private boolean paused;
  private boolean whole;
  private boolean broken;
  private boolean over;

  public Stream(long length, Budget budget, Source source) {
    this.length = length;
    this.budget = budget;
    this.source = source;
    budget.streamBegins();
  }

  public long length() {
    return length;
  }

  /** Takes the next bytes; false where the source must wait until it is told to go on. */
  public boolean offer(Buffer bytes) {
    if (over) {
      return true;
    }
    unwritten += bytes.remaining();
    if (sink == null) {
      waiting.add(bytes);
    } else {
      sink.bytes(bytes);
    }
    paused = unwritten >= budget.window();
    return !paused;
  }

  public void finish() {
    whole = true;
    tellEnd();
  }

  /** The rest will never come. */
  public void fail() {
    broken = true;
    tellEnd();
  }

  /** Begins to hand on, what has come already first. */
  public void attach(Sink to) {
    sink = to;
    while (!waiting.isEmpty()) {
      sink.bytes(waiting.poll());
    }
    tellEnd();
  }

  private void tellEnd() {
    if (!over && sink != null && (whole || broken)) {
      end();
      if (broken) {
        sink.failed();
      } else {
        sink.complete();
      }
    }
  }

  private void end() {
    over = true;
    budget.streamEnds();
  }

  /** The sink has passed so many bytes on. */
  public void written(long count) {
    unwritten -= count;
    if (paused && !over && unwritten <= budget.window() / 2) {
      paused = false;
      source.resume();
    }
  }

  /** The sink is gone. */
  public void cancel() {
    if (!over) {
      end();
      waiting.clear();
      source.cancel();
    }
  }
}
