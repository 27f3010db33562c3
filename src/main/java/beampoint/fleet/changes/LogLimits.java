package beampoint.fleet.changes;

/**
 * Limits on what a replica holds and sends; they must be the same at all voters of a log.
 *
 * @param entriesInFlight the maximum number of entries that are appended and not yet committed; also of the
 *     entries in one message, and of the unacknowledged entries of one follower
 * @param bytesInFlight the maximum size of the uncommitted entries, and of the entries in one message, in
 *     bytes; a single entry may exceed it
 * @param queuedChanges the maximum number of changes that wait to be appended
 * @param queuedBytes the maximum size of the changes that wait to be appended, in bytes
 * @param keptEntries the minimum number of committed entries that are not yet compacted into the snapshot, so
 *     that followers that lag by fewer need no snapshot; the maximum is twice this number
 * @param keptPurges the maximum number of purges that are kept in a snapshot; a proxy that lags by more must
 *     treat everything that it holds as purged
 * @param keptBytes the maximum size of the purges in a snapshot, in bytes
 * @param submitters the maximum number of submitters in a log
 */
public record LogLimits(int entriesInFlight, int bytesInFlight, int queuedChanges, int queuedBytes,
    int keptEntries, int keptPurges, int keptBytes, int submitters) {

  /** At 27 purges per second, keeps the purges of 10 min in a snapshot and those of 19 s as entries. */
  public static final LogLimits DEFAULTS = new LogLimits(256, 512 << 10, 1_024, 2 << 20, 512, 16_384, 8 << 20,
      1_024);

  /** Leaves room for the submitters of a snapshot in a message beside the entries. */
  private static final int MAX_BYTES_IN_FLIGHT = ChangeCodec.MAX_BYTES / 2;

  public LogLimits {
    boolean hasRequired = entriesInFlight >= 1 && bytesInFlight >= 1 && submitters >= 1;
    boolean fitsMessage = entriesInFlight <= EntryCodec.MAX_ENTRIES && bytesInFlight <= MAX_BYTES_IN_FLIGHT
        && submitters <= ChangeCodec.MAX_SUBMITTERS;
    boolean hasNegative = queuedChanges < 0 || queuedBytes < 0 || keptEntries < 0 || keptPurges < 0
        || keptBytes < 0;
    if (!hasRequired || !fitsMessage || hasNegative
        || !fitsSnapshotParts(entriesInFlight, bytesInFlight, keptPurges, keptBytes)) {
      throw new IllegalArgumentException("log limits out of range");
    }
  }

  /**
   * Whether the largest snapshot fits into {@link ChangeCodec#MAX_PARTS} messages. A part ends when it has
   * the maximum number of entries, or before an entry that would exceed the maximum number of bytes.
   */
  private static boolean fitsSnapshotParts(int entries, int bytes, int purges, int purgeBytes) {
    return 2L + purges / entries + 2L * purgeBytes / bytes <= ChangeCodec.MAX_PARTS;
  }
}
