package beampoint.fleet.lease;

import beampoint.fleet.facts.Epoch;

/** An event that a voter handles. */
public sealed interface LeaseEvent {

  /** The voter wants to acquire or renew the lease. */
  record Acquire() implements LeaseEvent {}

  /** The voter no longer wants to hold the lease. */
  record Relinquish() implements LeaseEvent {}

  /** A message of another voter was received. */
  record Received(String from, LeaseMessage message) implements LeaseEvent {}

  /** An epoch was observed elsewhere, for example in an entry of the replicated map. */
  record EpochObserved(Epoch epoch) implements LeaseEvent {}
}
