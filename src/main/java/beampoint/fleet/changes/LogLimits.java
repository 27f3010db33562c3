package beampoint.fleet.changes;

/**
 * Bounds of what a replica holds and sends; the same at all voters of a log.
 *
 * @param entriesInFlight the most entries that are appended and not yet committed
 * @param bytesInFlight and the most bytes of them; one entry may stand alone whatever its length
 * @param queuedChanges the most changes that wait for room among those
 * @param queuedBytes and the most bytes of them
 * @param keptEntries how many committed entries at least stay out of the snapshot, for followers that are
 *     behind by less; twice as many are the most
 * @param keptPurges the most purges in a snapshot: the retention window
 * @param keptBytes and the most bytes of them
 * @param origins the most submitters that a log tells apart
 */
public record LogLimits(int entriesInFlight, int bytesInFlight, int queuedChanges, int queuedBytes,
    int keptEntries, int keptPurges, int keptBytes, int origins) {

  /** Ten minutes of 27 purges a second in a snapshot, 19 s of them as entries. */
  public static final LogLimits DEFAULTS = new LogLimits(256, 512 << 10, 1_024, 2 << 20, 512, 16_384, 8 << 20,
      1_024);

  /** So that what is in flight, and the submitters of a snapshot beside it, fit one message. */
  private static final int MAX_BYTES_IN_FLIGHT = ChangeCodec.MAX_BYTES / 2;

  public LogLimits {
    boolean hasRequired = entriesInFlight >= 1 && bytesInFlight >= 1 && origins >= 1;
    boolean fitsMessage = entriesInFlight <= EntryCodec.MAX_ENTRIES && bytesInFlight <= MAX_BYTES_IN_FLIGHT
        && origins <= ChangeCodec.MAX_ORIGINS;
    boolean hasNegative = queuedChanges < 0 || queuedBytes < 0 || keptEntries < 0 || keptPurges < 0
        || keptBytes < 0;
    if (!hasRequired || !fitsMessage || hasNegative
        || !fitsSnapshotParts(entriesInFlight, bytesInFlight, keptPurges, keptBytes)) {
      throw new IllegalArgumentException("no limits of a log");
    }
  }

  /** A part ends with the number of entries, or where one more would make it too long. */
  private static boolean fitsSnapshotParts(int entries, int bytes, int purges, int purgeBytes) {
    return 2L + purges / entries + 2L * purgeBytes / bytes <= ChangeCodec.MAX_PARTS;
  }
}
