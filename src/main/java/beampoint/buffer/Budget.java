package beampoint.buffer;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.LongConsumer;

/**
 * The account of the memory that this process holds for others: values that clients send, replies of servers
 * that are being received, and answers that are not written to their client yet. A message for which there is
 * no room is discarded: nothing waits for memory, as that would cost the time of those who wait. Values of
 * clients, and replies together with answers, may each use half of the limit in any case, and all that the
 * other of the two leaves free.
 *
 * <p>The longer a value of a client is, the more it leaves free for shorter ones. If there is no room, the
 * incomplete value is discarded of which most is missing. So long values, however many and however slow, do
 * not cost short ones their place. Confined to the decision thread.
 */
public final class Budget {

  private static final int MIN_WINDOW_BYTES = 8 * 1024;
  private static final int MAX_WINDOW_BYTES = 128 * 1024;
  /** The part of the free memory that the windows of all streams may take, as a divisor. */
  private static final int WINDOWS_DIVISOR = 4;
  /** The part of the limit that values, and replies with answers, have in any case, as a divisor. */
  private static final int GUARANTEED_DIVISOR = 2;
  /** The part of the memory for values that long ones leave free for shorter ones at most, as a divisor. */
  private static final int RESERVE_DIVISOR = 8;

  private final LongConsumer heldListener;
  private long limit; // in bytes
  private long heldForValues; // of clients, in bytes
  private long heldForAnswers; // and for replies, in bytes
  private int streams;
  private final Set<Claim> incompleteValues = new LinkedHashSet<>(); // of which bytes are held

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
    private final long length; // of a value; 0 for others
    private final Runnable onDiscard;
    private long bytes;

    private Claim(Kind kind, long length, Runnable onDiscard) {
      this.kind = kind;
      this.length = length;
      this.onDiscard = onDiscard;
    }

    /**
     * Counts received bytes. Returns false if there is no room for them: then the message has to be discarded
     * whole, and nothing of it stays counted.
     */
    public boolean add(int count) {
      if (!makeRoom(this, count)) {
        release();
        return false;
      }
      change(count);
      if (bytes < length) {
        incompleteValues.add(this);
      } else {
        incompleteValues.remove(this);
      }
      return true;
    }

    /** The bytes are no longer held. A second call has no effect. */
    public void release() {
      change(-bytes);
      incompleteValues.remove(this);
    }

    private long missing() {
      return length - bytes;
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

  /**
   * Starts to buffer a client's value.
   *
   * @param length the length of the value in bytes
   * @param onDiscard is called if the incomplete value is to be discarded in favour of others; its claim is
   * released then
   */
  public Claim claimValue(int length, Runnable onDiscard) {
    return new Claim(Kind.VALUE, length, onDiscard);
  }

  /** Starts to buffer a server's reply to a read. */
  public Claim claimReply() {
    return new Claim(Kind.REPLY, 0, () -> {});
  }

  /**
   * Starts to buffer the receipt of a write, for which there is always room: the write has been carried out,
   * and its client must not be told otherwise.
   */
  public Claim claimReceipt() {
    return new Claim(Kind.RECEIPT, 0, () -> {});
  }

  /** Returns true if a message may grow; discards values for it of which more is missing. */
  private boolean makeRoom(Claim claim, int count) {
    while (!hasRoom(claim, count)) {
      Claim next = claim.kind == Kind.VALUE ? mostIncomplete(claim) : claim;
      if (next == claim) {
        return false;
      }
      next.release();
      next.onDiscard.run();
    }
    return true;
  }

  /** The incomplete value of which most is missing, or the given one if none lacks more. */
  private Claim mostIncomplete(Claim claim) {
    Claim most = claim;
    for (Claim value : incompleteValues) {
      most = value.missing() > most.missing() ? value : most;
    }
    return most;
  }

  /** True if a message has room to grow. The only one of its kind always has, however small the limit is. */
  private boolean hasRoom(Claim claim, int count) {
    return switch (claim.kind) {
      case RECEIPT -> true;
      case REPLY -> heldForAnswers == claim.bytes || heldForAnswers + count <= available(heldForValues);
      case VALUE -> heldForValues == claim.bytes
          || heldForValues + count <= availableForValue(claim.length);
    };
  }

  /** What values, or replies with answers, may hold while so many bytes are held for the other of the two. */
  private long available(long heldForOther) {
    return Math.max(limit / GUARANTEED_DIVISOR, limit - heldForOther);
  }

  private long availableForValue(long length) {
    long available = available(heldForAnswers);
    return available - Math.min(length, available / RESERVE_DIVISOR);
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
