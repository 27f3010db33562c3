package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.facts.Epoch;

/**
 * What stands for all entries up to an index: the configuration then in force. Of the purges it says only
 * that there may have been some.
 *
 * @param index the last entry that it stands for; 0 for the empty log
 * @param epoch the epoch of that entry
 * @param configuration the last change of configuration among them, or null
 */
public record ConfigurationSnapshot(long index, Epoch epoch, ChangeEntry configuration) {

  /** Of the empty log. */
  public static final ConfigurationSnapshot EMPTY = new ConfigurationSnapshot(0, Epoch.NONE, null);
}
