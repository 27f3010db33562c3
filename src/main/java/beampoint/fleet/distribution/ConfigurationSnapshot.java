package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.facts.Epoch;

/**
 * Replaces all entries up to an index by the configuration in force after them. It does not list purges:
 * there may have been any among the replaced entries.
 *
 * @param index the index of the last entry that it replaces; 0 for the empty log
 * @param epoch the epoch of that entry
 * @param configuration the last configuration change among the replaced entries, or null
 */
public record ConfigurationSnapshot(long index, Epoch epoch, ChangeEntry configuration) {

  /** The snapshot of the empty log. */
  public static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(0, Epoch.NONE, null);
}
