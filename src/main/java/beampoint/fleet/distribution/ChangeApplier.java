package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;

/** Applies changes at this member. It is called once for each entry, in the order of the log. */
public interface ChangeApplier {

  /** The result of applying a change. */
  enum Outcome { APPLIED, REFUSED }

  /**
   * Applies a change. A configuration is validated as a whole before any part of it takes effect; if it is
   * refused, the previous configuration stays in force.
   */
  Outcome apply(ChangeEntry entry);

  /**
   * Applies a snapshot in place of the entries up to its index, which are never delivered. Any of them may
   * have been a purge of any scope, so all cached values must be considered purged.
   */
  Outcome restore(ConfigurationSnapshot snapshot);
}
