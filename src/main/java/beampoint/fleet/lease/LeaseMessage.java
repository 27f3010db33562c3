package beampoint.fleet.lease;

import beampoint.fleet.facts.Epoch;

/** A message between voters about the lease. */
public sealed interface LeaseMessage {

  /** Requests a promise. The round distinguishes its answers from those to an earlier request. */
  record Request(Epoch epoch, long round) implements LeaseMessage {}

  /** Grants a request: the voter will promise no other epoch for the duration of a lease. */
  record Promise(Epoch epoch, long round) implements LeaseMessage {}

  /** Rejects a request and reports the highest epoch number that the voter knows. */
  record Denial(long known) implements LeaseMessage {}

  /** Releases a lease before its expiry. */
  record Release(Epoch epoch) implements LeaseMessage {}
}
