package beampoint.fleet.lease;

import beampoint.fleet.facts.Epoch;

/** What a voter observes. */
public sealed interface LeaseEvent {

  /** Wants to act, or to go on acting. */
  record Acquire() implements LeaseEvent {}

  /** Does not want to act any longer. */
  record Relinquish() implements LeaseEvent {}

  /** A message has come. */
  record Received(String from, LeaseMessage message) implements LeaseEvent {}

  /** An epoch was seen elsewhere, as in an entry of the shared facts. */
  record EpochObserved(Epoch epoch) implements LeaseEvent {}
}
