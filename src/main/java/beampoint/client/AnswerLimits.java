package beampoint.client;

import beampoint.buffer.Budget;
import beampoint.memcache.ReplyFilter;

/**
 * Limits the memory of answers that clients have not read yet, over all connections. A connection on which
 * no read is open and all answers are written may always start a read, and memory for one is reserved for
 * every connection. Further reads it may start only while its own answers take less than a part of what is
 * free then (dynamic thresholds, as in switches with shared buffers): the less is free, the less may a single
 * connection hold, and some is left for the others. Confined to the decision thread.
 */
final class AnswerLimits {

  /** The part of the free memory that one connection may hold, as a divisor. */
  private static final int CONNECTION_DIVISOR = 8;
  /** By what part of the difference the expected length follows shorter answers, as a divisor. */
  private static final int DECAY_DIVISOR = 32;

  private final Budget budget;
  private int connections;
  private int openReads;
  private long expectedBytes = ReplyFilter.MAX_BUFFERED_VALUE; // of the answer to an open read

  AnswerLimits(Budget budget) {
    this.budget = budget;
  }

  /** True if a connection may start one more read. */
  boolean mayStart(long unwrittenBytes, int openReadsOfConnection) {
    if (unwrittenBytes == 0 && openReadsOfConnection == 0) {
      return true;
    }
    long free = budget.free() - (connections + openReads) * expectedBytes;
    return unwrittenBytes + (openReadsOfConnection + 1) * expectedBytes <= free / CONNECTION_DIVISOR;
  }

  /** True if a read has to be refused at once, as there is no memory for its answer. */
  boolean mustRefuseReads() {
    return budget.mustRefuseReads();
  }

  void connectionOpened() {
    connections++;
  }

  void connectionClosed() {
    connections--;
  }

  void readStarted() {
    openReads++;
  }

  /** So many reads have their answer, or need none. */
  void readsEnded(int count) {
    openReads -= count;
  }

  /** A read has got a value, which takes so many bytes: the longest of late is expected again. */
  void valueReceived(int bytes) {
    long difference = expectedBytes - bytes;
    expectedBytes =
        difference <= 0 ? bytes : expectedBytes - (difference + DECAY_DIVISOR - 1) / DECAY_DIVISOR;
  }

  void hold(long bytes) {
    budget.holdAnswer(bytes);
  }

  void release(long bytes) {
    budget.releaseAnswer(bytes);
  }
}
