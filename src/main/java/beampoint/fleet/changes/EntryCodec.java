package beampoint.fleet.changes;

import beampoint.fleet.facts.Epoch;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Encodes and decodes log entries as an array of arrays. */
final class EntryCodec {

  /** The maximum number of entries in one message. */
  static final int MAX_ENTRIES = 1_024;

  private static final int CONFIGURATION = 1;
  private static final int PURGE = 2;

  private EntryCodec() {}

  static void write(JsonGenerator out, Epoch epoch) throws IOException {
    out.writeNumber(epoch.number());
    out.writeString(epoch.holder());
    out.writeNumber(epoch.life());
  }

  static void write(JsonGenerator out, List<ChangeEntry> entries) throws IOException {
    out.writeStartArray();
    for (ChangeEntry entry : entries) {
      out.writeStartArray();
      out.writeNumber(entry.index());
      write(out, entry.epoch());
      out.writeString(entry.id().submitter());
      out.writeNumber(entry.id().number());
      write(out, entry.change());
      out.writeEndArray();
    }
    out.writeEndArray();
  }

  private static void write(JsonGenerator out, Change change) throws IOException {
    if (change instanceof ConfigurationChange configuration) {
      out.writeNumber(CONFIGURATION);
      out.writeNumber(configuration.formatVersion());
      out.writeString(configuration.document());
    } else if (change instanceof PurgeChange purge) {
      out.writeNumber(PURGE);
      out.writeNumber(purge.formatVersion());
      out.writeNumber(purge.scope().ordinal());
      out.writeString(purge.value());
      out.writeNumber(purge.requestedAtMs());
    }
  }

  /** Reads entries with strictly increasing indexes. */
  static List<ChangeEntry> read(MessageReader in) throws IOException, MalformedLogMessageException {
    List<ChangeEntry> entries = new ArrayList<>();
    long previousIndex = 0;
    in.beginArray();
    while (in.nextArray()) {
      if (entries.size() == MAX_ENTRIES) {
        throw new MalformedLogMessageException("more than " + MAX_ENTRIES + " entries");
      }
      ChangeEntry entry = entry(in);
      if (entry.index() <= previousIndex || entry.epoch().number() == 0) {
        throw new MalformedLogMessageException("entry out of order or without an epoch");
      }
      previousIndex = entry.index();
      entries.add(entry);
    }
    return List.copyOf(entries);
  }

  /** Reads entries with consecutive indexes. */
  static List<ChangeEntry> readWithoutGaps(MessageReader in)
      throws IOException, MalformedLogMessageException {
    List<ChangeEntry> entries = read(in);
    if (!entries.isEmpty()
        && entries.get(entries.size() - 1).index() - entries.get(0).index() != entries.size() - 1) {
      throw new MalformedLogMessageException("gap between the indexes of entries");
    }
    return entries;
  }

  private static ChangeEntry entry(MessageReader in) throws IOException, MalformedLogMessageException {
    long index = in.index();
    Epoch epoch = in.epoch();
    ChangeId id = new ChangeId(in.text(), in.number());
    ChangeEntry entry = new ChangeEntry(index, epoch, id, change(in));
    in.endArray();
    return entry;
  }

  private static Change change(MessageReader in) throws IOException, MalformedLogMessageException {
    long kind = in.numberBetween(CONFIGURATION, PURGE);
    int version = (int) in.numberBetween(1, Integer.MAX_VALUE);
    if (kind == CONFIGURATION) {
      return new ConfigurationChange(version, in.text());
    }
    PurgeScope scope = PurgeScope.values()[(int) in.numberBetween(0, PurgeScope.values().length - 1)];
    return new PurgeChange(version, scope, in.text(), in.number());
  }
}
