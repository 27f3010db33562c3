package beampoint.fleet.changes;

import java.util.ArrayList;
import java.util.List;

/** Splits entries into batches that fit a message. */
final class Batches {

  private Batches() {}

  /** The first entries that fit one message, but at least one if there are any. */
  static List<ChangeEntry> first(List<ChangeEntry> entries, LogLimits limits) {
    long bytes = 0;
    int count = 0;
    while (count < entries.size() && count < limits.entriesInFlight()) {
      bytes += entries.get(count).approximateBytes();
      if (count > 0 && bytes > limits.bytesInFlight()) {
        break;
      }
      count++;
    }
    return entries.subList(0, count);
  }

  /** Splits all entries into batches; without entries, the result is one empty batch. */
  static List<List<ChangeEntry>> split(List<ChangeEntry> entries, LogLimits limits) {
    List<List<ChangeEntry>> batches = new ArrayList<>();
    int from = 0;
    do {
      List<ChangeEntry> batch = first(entries.subList(from, entries.size()), limits);
      batches.add(List.copyOf(batch));
      from += batch.size();
    } while (from < entries.size());
    return batches;
  }
}
