package beampoint.buffer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The bytes of values that a process may hold: those that come to be held whole, and the windows of streams.
 * Belongs to the decision thread.
 */
public final class Budget {

  private static final int SMALLEST_WINDOW = 8 * 1024;
  private static final int LARGEST_WINDOW = 128 * 1024;

  private long limit;
  private long held;
  private int streams;
  private final Set<Claim> growing = new LinkedHashSet<>(); // the first begun first

  public Budget(long limit) {
    this.limit = limit;
  }

  /** A value that is held whole. */
  public final class Claim {
    private final Runnable resume;
    private long bytes;
    private boolean paused;

    private Claim(Runnable resume) {
      this.resume = resume;
    }

    /**
     * Counts bytes that have come; false where no more may be read until the call back. Guards against a dead
     * end, in which all values are begun and none can be finished: the first begun is never held up.
     */
    public boolean add(int count) {
      held += count;
      bytes += count;
      paused = held > limit && growing.iterator().next() != this;
      return !paused;
    }

    /** It is whole: its bytes stay counted until they are released. */
    public void complete() {
      growing.remove(this);
      wake();
    }

    /** Its bytes are held no more; the second time nothing is done. */
    public void release() {
      held -= bytes;
      bytes = 0;
      complete();
    }
  }

  /** Begins to hold a value; the call back tells that more of it may be read. */
  public Claim claim(Runnable resume) {
    Claim claim = new Claim(resume);
    growing.add(claim);
    return claim;
  }

  private void wake() {
    boolean first = true;
    for (Claim claim : new ArrayList<>(growing)) {
      if (claim.paused && (first || held <= limit)) {
        claim.paused = false;
        claim.resume.run();
      }
      first = false;
    }
  }

  public void limit(long bytes) {
    limit = bytes;
    wake();
  }

  /** What is held whole, or on its way to that. */
  public long held() {
    return held;
  }

  /** How many streams are open. */
  public int streams() {
    return streams;
  }

  void streamBegins() {
    streams++;
  }

  void streamEnds() {
    streams--;
  }

  /** How much a stream may hold before it pauses its source. */
  int window() {
    long each = (limit - held) / Math.max(1, streams);
    return (int) Math.max(SMALLEST_WINDOW, Math.min(LARGEST_WINDOW, each));
  }
}
