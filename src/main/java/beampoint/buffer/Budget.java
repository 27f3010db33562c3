package beampoint.buffer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The memory budget for values. The bytes of values that are buffered whole are counted as held. The windows
 * of streams are derived from what is left, and not counted as held. Confined to the decision thread.
 */
public final class Budget {

  private static final int MIN_WINDOW_BYTES = 8 * 1024;
  private static final int MAX_WINDOW_BYTES = 128 * 1024;

  private long limit; // in bytes
  private long held; // in bytes
  private int streams;
  private final Set<Claim> incomplete = new LinkedHashSet<>(); // the oldest first

  /** A budget with a limit in bytes. */
  public Budget(long limitBytes) {
    this.limit = limitBytes;
  }

  /** The bytes of one value that is buffered whole. */
  public final class Claim {
    private final Runnable resume;
    private long bytes;
    private boolean paused;

    private Claim(Runnable resume) {
      this.resume = resume;
    }

    /**
     * Counts received bytes; returns false if no more may be read until the callback. The oldest incomplete
     * value is never paused. If all could be paused, they might use up the budget between them so that none
     * could be completed.
     */
    public boolean add(int count) {
      held += count;
      bytes += count;
      paused = held > limit && incomplete.iterator().next() != this;
      return !paused;
    }

    /** The value is complete. Its bytes stay counted until they are released. */
    public void complete() {
      incomplete.remove(this);
      resumePaused();
    }

    /** The bytes are no longer held. A second call has no effect. */
    public void release() {
      held -= bytes;
      bytes = 0;
      complete();
    }
  }

  /** Starts to buffer a value. The callback runs when more of a paused value may be read. */
  public Claim claim(Runnable resume) {
    Claim claim = new Claim(resume);
    incomplete.add(claim);
    return claim;
  }

  /** Resumes paused values: the oldest incomplete one in any case, the others while the limit allows it. */
  private void resumePaused() {
    boolean isOldest = true;
    for (Claim claim : new ArrayList<>(incomplete)) {
      if (claim.paused && (isOldest || held <= limit)) {
        claim.paused = false;
        claim.resume.run();
      }
      isOldest = false;
    }
  }

  /** Sets the limit in bytes. */
  public void setLimit(long bytes) {
    limit = bytes;
    resumePaused();
  }

  /** The bytes of all values that are buffered whole, complete or not. */
  public long held() {
    return held;
  }

  /** The number of open streams. */
  public int streams() {
    return streams;
  }

  void streamOpened() {
    streams++;
  }

  void streamClosed() {
    streams--;
  }

  /** How many bytes a stream may hold before it pauses its source. */
  int window() {
    long share = (limit - held) / Math.max(1, streams);
    return (int) Math.max(MIN_WINDOW_BYTES, Math.min(MAX_WINDOW_BYTES, share));
  }
}
