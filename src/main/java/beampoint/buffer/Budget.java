package beampoint.buffer;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * The account of the memory that this process holds for others: values that clients send, replies of servers
 * that are being received, and answers that are not written to their client yet. Confined to the decision
 * thread.
 */
public final class Budget {

  private static final int MIN_WINDOW_BYTES = 8 * 1024;
  private static final int MAX_WINDOW_BYTES = 128 * 1024;
  /** The part of the free memory that the windows of all streams may take, as a divisor. */
  private static final int WINDOWS_DIVISOR = 4;
  /** The part of the memory that values from clients leave to replies and answers, as a divisor. */
  private static final int ANSWERS_DIVISOR = 2;

  private final LongConsumer heldListener;
  private long limit; // in bytes
  private long held; // in bytes
  private long heldForAnswers; // the part of it for replies and answers
  private int streams;
  private int pausedClaims;
  private final Set<Claim> incompleteValues = new LinkedHashSet<>(); // of clients, the oldest first
  private final Set<Claim> incompleteReplies = new LinkedHashSet<>(); // of servers, the oldest first

  /** A budget with a limit in bytes. */
  public Budget(long limitBytes) {
    this(limitBytes, held -> {});
  }

  /**
   * A budget with a limit in bytes.
   *
   * @param heldListener receives the bytes that are held each time that these grow
   */
  public Budget(long limitBytes, LongConsumer heldListener) {
    this.limit = limitBytes;
    this.heldListener = heldListener;
  }

  /** The bytes of one message that is buffered whole. */
  public final class Claim {
    private final Set<Claim> incomplete;
    private final Runnable resume;
    private long bytes;
    private boolean paused;

    private Claim(Set<Claim> incomplete, Runnable resume) {
      this.incomplete = incomplete;
      this.resume = resume;
    }

    /**
     * Counts received bytes; returns false if no more may be read until the callback. The oldest incomplete
     * message of its kind is never paused. If all could be paused, they might use up the budget between them
     * so that none could be completed.
     */
    public boolean add(int count) {
      change(count);
      bytes += count;
      setPaused(held > limit && incomplete.iterator().next() != this);
      return !paused;
    }

    /** The message is complete. Its bytes stay counted until they are released. */
    public void complete() {
      setPaused(false);
      incomplete.remove(this);
      resumePaused();
    }

    /** The bytes are no longer held. A second call has no effect. */
    public void release() {
      change(-bytes);
      bytes = 0;
      complete();
    }

    private void change(long count) {
      hold(count, incomplete == incompleteReplies ? count : 0);
    }

    private void setPaused(boolean on) {
      pausedClaims += on == paused ? 0 : on ? 1 : -1;
      paused = on;
    }
  }

  /** Starts to buffer a client's value. The callback runs when more of a paused value may be read. */
  public Claim claim(Runnable resume) {
    return claim(incompleteValues, resume);
  }

  /** Starts to buffer a server's reply. The callback runs when more of a paused reply may be read. */
  public Claim claimReply(Runnable resume) {
    return claim(incompleteReplies, resume);
  }

  private Claim claim(Set<Claim> incomplete, Runnable resume) {
    Claim claim = new Claim(incomplete, resume);
    incomplete.add(claim);
    return claim;
  }

  /** Counts bytes of an answer that waits for its client. */
  public void holdAnswer(long bytes) {
    hold(bytes, bytes);
  }

  private void hold(long bytes, long bytesForAnswers) {
    held += bytes;
    heldForAnswers += bytesForAnswers;
    if (bytes > 0) {
      heldListener.accept(held);
    }
  }

  /** Bytes of an answer are written, or not needed any more. */
  public void releaseAnswer(long bytes) {
    hold(-bytes, -bytes);
    resumePaused();
  }

  /** Resumes paused messages: the oldest of either kind in any case, the others while the limit allows it. */
  private void resumePaused() {
    if (pausedClaims > 0) {
      resumePaused(incompleteReplies);
      resumePaused(incompleteValues);
    }
  }

  private void resumePaused(Set<Claim> incomplete) {
    boolean isOldest = true;
    for (Claim claim : new ArrayList<>(incomplete)) {
      if (claim.paused && (isOldest || held <= limit)) {
        claim.setPaused(false);
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

  /** The bytes that are held, whatever for. */
  public long held() {
    return held;
  }

  /** How many more bytes may be held; 0 if the limit is reached. */
  public long free() {
    return Math.max(0, limit - held);
  }

  /**
   * True if no read may be started, as there is no memory for its answer. Values from clients alone don't
   * refuse reads: a part of the memory is for answers.
   */
  public boolean mustRefuseReads() {
    return held > limit && heldForAnswers > limit / ANSWERS_DIVISOR;
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

  /** How many bytes a stream may hold before it pauses its source: less, the less memory is free. */
  int window() {
    long share = free() / WINDOWS_DIVISOR / Math.max(1, streams);
    return (int) Math.max(MIN_WINDOW_BYTES, Math.min(MAX_WINDOW_BYTES, share));
  }
}
