package beampoint.fleet.lease;

import beampoint.fleet.facts.Epoch;

/** What voters say to each other about the lease. */
public sealed interface LeaseMessage {

  /** Asks for a promise; the round tells its answers from those to an earlier question. */
  record Request(Epoch epoch, long round) implements LeaseMessage {}

  /** Promises to nobody else until the length of a lease has passed. */
  record Promise(Epoch epoch, long round) implements LeaseMessage {}

  /** Promises nothing; the highest number of an epoch that the voter knows. */
  record Denial(long known) implements LeaseMessage {}

  /** Gives a lease back before its time. */
  record Release(Epoch epoch) implements LeaseMessage {}
}
