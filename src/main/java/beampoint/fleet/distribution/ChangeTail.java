package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The most recent applied entries in full, on top of a snapshot of those before; bounded in size. */
final class ChangeTail {

  /** Approximate bytes of an entry in a message, apart from its text. */
  private static final int ENTRY_OVERHEAD_BYTES = 12;

  /** Approximate factor by which deflating shortens a document. */
  private static final int COMPRESSION_RATIO = 3;

  private final ChangeEntry[] ring;
  private final int maxBytes;
  private ConfigurationSnapshot base = ConfigurationSnapshot.EMPTY;
  private ChangeEntry configuration; // the latest one, in the tail or in the snapshot; null if there is none
  private Epoch epoch = Epoch.NONE; // of the last entry
  private long last;
  private int bytes;

  ChangeTail(int maxEntries, int maxBytes) {
    this.ring = new ChangeEntry[maxEntries];
    this.maxBytes = maxBytes;
  }

  /** The snapshot of the entries before the first one in the tail. */
  ConfigurationSnapshot base() {
    return base;
  }

  /** A snapshot of all entries up to the last one. */
  ConfigurationSnapshot latest() {
    return new ConfigurationSnapshot(last, epoch, configuration);
  }

  /** The index of the last entry. */
  long last() {
    return last;
  }

  /** Replaces the whole tail by a snapshot. */
  void restart(ConfigurationSnapshot snapshot) {
    Arrays.fill(ring, null);
    base = snapshot;
    last = snapshot.index();
    epoch = snapshot.epoch();
    configuration = snapshot.configuration();
    bytes = 0;
  }

  /** Appends the next entry and drops the oldest ones as far as the bounds require it. */
  void append(ChangeEntry entry) {
    if (entry.index() != last + 1) {
      throw new IllegalArgumentException("entry " + entry.index() + " does not follow entry " + last);
    }
    while (last - base.index() == ring.length || bytes > 0 && bytes + storedBytes(entry) > maxBytes) {
      dropFirst();
    }
    ring[slot(entry.index())] = entry;
    bytes += storedBytes(entry);
    last = entry.index();
    epoch = entry.epoch();
    configuration = entry.change() instanceof ConfigurationChange ? entry : configuration;
  }

  private void dropFirst() {
    ChangeEntry first = ring[slot(base.index() + 1)];
    ring[slot(first.index())] = null;
    bytes -= storedBytes(first);
    base = new ConfigurationSnapshot(first.index(), first.epoch(),
        first.change() instanceof ConfigurationChange ? first : base.configuration());
  }

  private int slot(long index) {
    return (int) (index % ring.length);
  }

  /**
   * Returns consecutive entries, starting at an index or, if that is no longer in the tail, at the first one.
   *
   * @param maxMessageBytes the approximate limit for their bytes in a message; a single entry may exceed it
   */
  List<ChangeEntry> entriesFrom(long index, int maxEntries, int maxMessageBytes) {
    List<ChangeEntry> entries = new ArrayList<>();
    int size = 0;
    for (long i = Math.max(index, base.index() + 1); i <= last && entries.size() < maxEntries; i++) {
      ChangeEntry entry = ring[slot(i)];
      size += messageBytes(entry);
      if (size > maxMessageBytes && !entries.isEmpty()) {
        break;
      }
      entries.add(entry);
    }
    return entries;
  }

  /** The approximate bytes of an entry in a message, where documents are deflated. */
  private static int messageBytes(ChangeEntry entry) {
    int contentBytes = entry.change().contentBytes();
    return ENTRY_OVERHEAD_BYTES
        + (entry.change() instanceof ConfigurationChange ? contentBytes / COMPRESSION_RATIO : contentBytes);
  }

  private static int storedBytes(ChangeEntry entry) {
    return ENTRY_OVERHEAD_BYTES + entry.change().contentBytes();
  }
}
