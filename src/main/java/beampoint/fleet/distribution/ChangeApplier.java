package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;

/** Puts changes into force at this member; called in the order of the log, once for each entry. */
public interface ChangeApplier {

  /** What became of a change. */
  enum Outcome { APPLIED, REFUSED }

  /**
   * Puts a change into force. A configuration is checked whole before any of it holds; where it is refused
   * the one before stays in force.
   */
  Outcome apply(ChangeEntry entry);

  /**
   * Puts a snapshot into force in place of the entries up to its index, which never come: whatever a purge
   * among them may have named is to be held for purged.
   */
  Outcome restore(ConfigurationSnapshot snapshot);
}
