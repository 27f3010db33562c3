package beampoint.buffer;

import java.util.function.LongConsumer;

/**
 * The account of the memory that this process holds for others: values that clients send, replies of servers
 * that are being received, and answers that are not written to their client yet. A message for which there is
 * no room is discarded: nothing waits for memory, as that would cost the time of those who wait. Values of
 * clients, and replies together with answers, may each use half of the limit in any case, and all that the
 * other of the two leaves free. Confined to the decision thread.
 */
public final class Budget {

  private static final int MIN_WINDOW_BYTES = 8 * 1024;
  private static final int MAX_WINDOW_BYTES = 128 * 1024;
  /** The part of the free memory that the windows of all streams may take, as a divisor. */
  private static final int WINDOWS_DIVISOR = 4;
  /** The part of the limit that values, and replies with answers, have in any case, as a divisor. */
  private static final int GUARANTEED_DIVISOR = 2;

  private final LongConsumer heldListener;
  private long limit; // in bytes
  private long heldForValues; // of clients, in bytes
  private long heldForAnswers; // and for replies, in bytes
  private int streams;

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

  /** What a message that is buffered whole is. */
  private enum Kind {
    VALUE, REPLY, RECEIPT
  }

  /** The bytes of one message that is buffered whole. */
  public final class Claim {
    private final Kind kind;
    private long bytes;

    private Claim(Kind kind) {
      this.kind = kind;
    }

    /**
     * Counts received bytes. Returns false if there is no room for them: then the message has to be discarded
     * whole, and nothing of it stays counted.
     */
    public boolean add(int count) {
      if (!hasRoom(this, count)) {
        release();
        return false;
      }
      change(count);
      return true;
    }

    /** The bytes are no longer held. A second call has no effect. */
    public void release() {
      change(-bytes);
    }

    private void change(long count) {
      bytes += count;
      if (kind == Kind.VALUE) {
        heldForValues += count;
      } else {
        heldForAnswers += count;
      }
      notifyIfGrown(count);
    }
  }

  /** Starts to buffer a client's value. */
  public Claim claimValue() {
    return new Claim(Kind.VALUE);
  }

  /** Starts to buffer a server's reply to a read. */
  public Claim claimReply() {
    return new Claim(Kind.REPLY);
  }

  /**
   * Starts to buffer the receipt of a write, for which there is always room: the write has been carried out,
   * and its client must not be told otherwise.
   */
  public Claim claimReceipt() {
    return new Claim(Kind.RECEIPT);
  }

  /** True if a message may grow. The only one of its kind always may, however small the limit is. */
  private boolean hasRoom(Claim claim, int count) {
    long heldForKind = claim.kind == Kind.VALUE ? heldForValues : heldForAnswers;
    boolean isOnly = heldForKind == claim.bytes;
    return claim.kind == Kind.RECEIPT || isOnly || heldForKind + count <= limit / GUARANTEED_DIVISOR
        || held() + count <= limit;
  }

  private void notifyIfGrown(long count) {
    if (count > 0) {
      heldListener.accept(held());
    }
  }

  /** Counts bytes of an answer that waits for its client. */
  public void holdAnswer(long bytes) {
    heldForAnswers += bytes;
    notifyIfGrown(bytes);
  }

  /** Bytes of an answer are written, or not needed any more. */
  public void releaseAnswer(long bytes) {
    heldForAnswers -= bytes;
  }

  /** Sets the limit in bytes. */
  public void setLimit(long bytes) {
    limit = bytes;
  }

  /** The bytes that are held, whatever for. */
  public long held() {
    return heldForValues + heldForAnswers;
  }

  /** How many more bytes may be held; 0 if the limit is reached. */
  public long free() {
    return Math.max(0, limit - held());
  }

  /** True if no read may be started, as there is no memory for its answer. */
  public boolean mustRefuseReads() {
    return held() > limit && heldForAnswers > limit / GUARANTEED_DIVISOR;
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
