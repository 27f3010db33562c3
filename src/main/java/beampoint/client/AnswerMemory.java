package beampoint.client;

/** The memory that the answers of one connection take until they are written, and its open reads. */
final class AnswerMemory {

  private final AnswerLimits limits;
  private long unwrittenBytes;
  private int openReads;
  private boolean closed;

  AnswerMemory(AnswerLimits limits) {
    this.limits = limits;
    limits.connectionOpened();
  }

  /** True if one more read may be started on this connection. */
  boolean mayStart() {
    return limits.mayStart(unwrittenBytes, openReads);
  }

  void readStarted() {
    openReads++;
    limits.readStarted();
  }

  /** A read has its answer. */
  void readAnswered() {
    if (!closed) {
      openReads--;
      limits.readsEnded(1);
    }
  }

  /** Counts bytes that wait to be written. */
  void hold(int bytes) {
    if (!closed) {
      unwrittenBytes += bytes;
      limits.hold(bytes);
    }
  }

  /** Bytes have been written. */
  void release(int bytes) {
    if (!closed) {
      unwrittenBytes -= bytes;
      limits.release(bytes);
    }
  }

  /** The connection has ended: nothing is held for it any more. */
  void close() {
    if (!closed) {
      closed = true;
      limits.readsEnded(openReads);
      limits.release(unwrittenBytes);
      limits.connectionClosed();
    }
  }
}
