package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;

/** What a replica observes. */
public sealed interface LogEvent {

  /** Some time has passed. */
  record Tick() implements LogEvent {}

  /** A message has come. */
  record Received(String from, LogMessage message) implements LogEvent {}

  /** A lease of this epoch was promised to somebody, or seen. */
  record Promised(Epoch epoch) implements LogEvent {}

  /** This replica holds the lease of an epoch: a majority has promised it. */
  record Elected(Epoch epoch) implements LogEvent {}

  /** This replica no longer holds the lease. */
  record LeaseEnded() implements LogEvent {}

  /** Somebody submits a change. */
  record Submit(ChangeId id, Change change) implements LogEvent {}

  /**
   * An operator, who accepts that entries may be lost, lets the replica found a new log with what it holds.
   * It counts while the replica asks the others, as an elected leader.
   */
  record AllowNewLog() implements LogEvent {}
}
