package beampoint.buffer;

import java.util.ArrayDeque;
import java.util.Deque;
import org.glassfish.grizzly.Buffer;

/**
 * A long value that is passed from a source to a sink with backpressure: the source is paused when a window
 * of bytes is full, and resumed when half of the window is free. Confined to the decision thread.
 */
public final class Stream {

  /** Where the bytes come from. */
  public interface Source {
    /** More bytes may be read. */
    void resume();

    /** The rest of the value is not needed. */
    void cancel();
  }

  /** Where the bytes go. */
  public interface Sink {
    /** The next bytes of the value; the sink counts them in the budget until they are written. */
    void bytes(Buffer bytes);

    /** All bytes have arrived, and the data that followed them was valid. */
    void complete();

    /** The rest of the value will not arrive. */
    void failed();
  }

  private final long length;
  private final Budget budget;
  private final Source source;
  private final Deque<Buffer> waiting = new ArrayDeque<>(); // until there is a sink
  private Sink sink;
  private long waitingBytes;
  private long received;
  private long unwritten;
  private boolean paused;
  private boolean isComplete;
  private boolean hasFailed;
  private boolean isOver;

  /** Opens a stream for a value of this length in bytes. */
  public Stream(long length, Budget budget, Source source) {
    this.length = length;
    this.budget = budget;
    this.source = source;
    budget.streamOpened();
  }

  /** The length of the value in bytes. */
  public long length() {
    return length;
  }

  /** How many bytes of the value were received while it was needed. */
  public long received() {
    return received;
  }

  /** Takes the next bytes; returns false if the source must wait until it is resumed. */
  public boolean offer(Buffer bytes) {
    if (isOver) {
      return true;
    }
    received += bytes.remaining();
    unwritten += bytes.remaining();
    if (sink == null) {
      waiting.add(bytes);
      waitingBytes += bytes.remaining();
      budget.holdAnswer(bytes.remaining());
    } else {
      sink.bytes(bytes);
    }
    paused = unwritten >= budget.window();
    return !paused;
  }

  /** All bytes were offered, and the data that followed them was valid. */
  public void finish() {
    isComplete = true;
    notifyEnd();
  }

  /** The rest of the value will not arrive. What waits for a sink is discarded. */
  public void fail() {
    hasFailed = true;
    if (sink == null && !isOver) {
      end();
      discardWaiting();
    }
    notifyEnd();
  }

  /** True if the value broke off before it had a sink, so that none of it was passed on. */
  public boolean hasFailedUnattached() {
    return hasFailed && sink == null;
  }

  /** Sets the sink and passes it the bytes that have arrived so far, which the sink holds from here on. */
  public void attach(Sink newSink) {
    sink = newSink;
    releaseWaiting();
    while (!waiting.isEmpty()) {
      sink.bytes(waiting.poll());
    }
    notifyEnd();
  }

  /** Tells the sink how the stream has ended, if it has and the sink was not told before. */
  private void notifyEnd() {
    if (!isOver && sink != null && (isComplete || hasFailed)) {
      end();
      if (hasFailed) {
        sink.failed();
      } else {
        sink.complete();
      }
    }
  }

  private void end() {
    isOver = true;
    budget.streamClosed();
  }

  /** The sink has written a number of bytes. */
  public void written(long count) {
    unwritten -= count;
    if (paused && !isOver && unwritten <= budget.window() / 2) {
      paused = false;
      source.resume();
    }
  }

  /** The value is no longer needed. Cancels the source, unless the stream has ended. */
  public void cancel() {
    if (!isOver) {
      end();
      discardWaiting();
      source.cancel();
    }
  }

  private void discardWaiting() {
    releaseWaiting();
    waiting.clear();
  }

  private void releaseWaiting() {
    budget.releaseAnswer(waitingBytes);
    waitingBytes = 0;
  }
}
