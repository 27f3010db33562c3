package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;

/** An event that a replica handles. */
public sealed interface LogEvent {

  /** Some time has passed. */
  record Tick() implements LogEvent {}

  /** A message of another control machine was received. */
  record Received(String from, LogMessage message) implements LogEvent {}

  /**
   * This machine has promised a lease of this epoch to a control machine, or has seen the epoch in a message.
   */
  record Promised(Epoch epoch) implements LogEvent {}

  /** This replica holds the lease of an epoch, as a majority has promised it. */
  record Elected(Epoch epoch) implements LogEvent {}

  /** This replica no longer holds the lease. */
  record LeaseEnded() implements LogEvent {}

  /** A submitter submits a change. */
  record Submit(ChangeId id, Change change) implements LogEvent {}

  /**
   * An operator, who accepts that entries may be lost, allows the replica to found a new log with the entries
   * that it holds. The replica does so when, as an elected leader, it collects the logs of the others.
   */
  record AllowNewLog() implements LogEvent {}
}
