package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The last entries that were applied, in full, on a snapshot of those before; of bounded size. */
final class ChangeTail {

  private static final int ENTRY_OVERHEAD = 12; // bytes of an entry in a message, beside its text, about

  private static final int DEFLATED = 3; // a document becomes so many times shorter, about

  private final ChangeEntry[] ring;
  private final int mostBytes;
  private ConfigurationSnapshot base = ConfigurationSnapshot.EMPTY;
  private ChangeEntry configuration; // the last one, here or in the snapshot; or null
  private Epoch epoch = Epoch.NONE; // of the last entry
  private long last;
  private int bytes;

  ChangeTail(int mostEntries, int mostBytes) {
    this.ring = new ChangeEntry[mostEntries];
    this.mostBytes = mostBytes;
  }

  /** What stands for the entries before the first that is kept. */
  ConfigurationSnapshot base() {
    return base;
  }

  /** What stands for all entries up to the last. */
  ConfigurationSnapshot latest() {
    return new ConfigurationSnapshot(last, epoch, configuration);
  }

  /** The last entry's index. */
  long last() {
    return last;
  }

  /** Starts anew from a snapshot. */
  void restart(ConfigurationSnapshot snapshot) {
    Arrays.fill(ring, null);
    base = snapshot;
    last = snapshot.index();
    epoch = snapshot.epoch();
    configuration = snapshot.configuration();
    bytes = 0;
  }

  /** Takes the next entry. */
  void append(ChangeEntry entry) {
    if (entry.index() != last + 1) {
      throw new IllegalArgumentException("entry " + entry.index() + " after " + last);
    }
    while (last - base.index() == ring.length || bytes > 0 && bytes + weight(entry) > mostBytes) {
      dropFirst();
    }
    ring[slot(entry.index())] = entry;
    bytes += weight(entry);
    last = entry.index();
    epoch = entry.epoch();
    configuration = entry.change() instanceof ConfigurationChange ? entry : configuration;
  }

  private void dropFirst() {
    ChangeEntry first = ring[slot(base.index() + 1)];
    ring[slot(first.index())] = null;
    bytes -= weight(first);
    base = new ConfigurationSnapshot(first.index(), first.epoch(),
        first.change() instanceof ConfigurationChange ? first : base.configuration());
  }

  private int slot(long index) {
    return (int) (index % ring.length);
  }

  /** Entries from an index on, of about so many bytes: one at the least where there is any. */
  List<ChangeEntry> from(long index, int most, int mostBytesOfThem) {
    List<ChangeEntry> entries = new ArrayList<>();
    int size = 0;
    for (long i = Math.max(index, base.index() + 1); i <= last && entries.size() < most; i++) {
      ChangeEntry entry = ring[slot(i)];
      size += sentWeight(entry);
      if (size > mostBytesOfThem && !entries.isEmpty()) {
        break;
      }
      entries.add(entry);
    }
    return entries;
  }

  /** About its bytes in a message, where documents are deflated. */
  private static int sentWeight(ChangeEntry entry) {
    int weight = entry.change().weight();
    return ENTRY_OVERHEAD + (entry.change() instanceof ConfigurationChange ? weight / DEFLATED : weight);
  }

  private static int weight(ChangeEntry entry) {
    return ENTRY_OVERHEAD + entry.change().weight();
  }
}
