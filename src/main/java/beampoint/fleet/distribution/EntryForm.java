package beampoint.fleet.distribution;

import beampoint.fleet.changes.Change;
import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ChangeId;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.changes.PurgeChange;
import beampoint.fleet.changes.PurgeScope;
import beampoint.fleet.facts.Epoch;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The form of consecutive entries in bytes. What an entry shares with the one before is not written again:
 * its index, its epoch and its submitter; times and numbers are written as differences.
 */
final class EntryForm {

  static final int MAX_ENTRIES = 4_096;
  private static final int CONFIGURATION = PurgeScope.values().length; // the scopes' numbers stand for purges
  private static final int NEW_EPOCH = 4;
  private static final int NEW_ORIGIN = 8;
  private static final int MAX_VERSION = 1_000_000;

  private EntryForm() {}

  /** What the entries before had. */
  private static final class Before {
    private Epoch epoch = Epoch.NONE;
    private long requestedAtMs;
    private final List<String> origins = new ArrayList<>();
    private final List<Long> numbers = new ArrayList<>(); // the last one of each origin
    private int present = -1; // the origin of the entry before

    private void add(String origin) {
      present = origins.size();
      origins.add(origin);
      numbers.add(0L);
    }

    private boolean isOrigin(String origin) {
      return present >= 0 && origins.get(present).equals(origin);
    }
  }

  static void write(JsonGenerator out, List<ChangeEntry> entries) throws IOException {
    out.writeStartArray();
    if (!entries.isEmpty()) {
      out.writeNumber(entries.get(0).index());
    }
    Before before = new Before();
    for (ChangeEntry entry : entries) {
      write(out, entry, before);
    }
    out.writeEndArray();
  }

  private static void write(JsonGenerator out, ChangeEntry entry, Before before) throws IOException {
    Change change = entry.change();
    boolean hasEpoch = !entry.epoch().equals(before.epoch);
    boolean hasOrigin = !before.isOrigin(entry.id().origin());
    int kind = change instanceof PurgeChange purge ? purge.scope().ordinal() : CONFIGURATION;
    out.writeNumber(kind + (hasEpoch ? NEW_EPOCH : 0) + (hasOrigin ? NEW_ORIGIN : 0));
    if (hasEpoch) {
      out.writeNumber(entry.epoch().number());
      out.writeString(entry.epoch().holder());
      out.writeNumber(entry.epoch().life());
      before.epoch = entry.epoch();
    }
    if (hasOrigin) {
      writeOrigin(out, entry.id().origin(), before);
    }
    out.writeNumber(entry.id().number() - before.numbers.get(before.present));
    before.numbers.set(before.present, entry.id().number());
    out.writeNumber(change.formatVersion());
    if (change instanceof PurgeChange purge) {
      out.writeNumber(purge.requestedAtMs() - before.requestedAtMs);
      before.requestedAtMs = purge.requestedAtMs();
      TextForm.writeValue(out, purge.value());
    } else if (change instanceof ConfigurationChange configuration) {
      TextForm.writeDocument(out, configuration.document());
    }
  }

  /** By its name the first time, and by its place among those that were named from then on. */
  private static void writeOrigin(JsonGenerator out, String origin, Before before) throws IOException {
    int place = before.origins.indexOf(origin);
    if (place >= 0) {
      out.writeNumber(place);
      before.present = place;
    } else {
      out.writeString(origin);
      before.add(origin);
    }
  }

  private static void readOrigin(MessageReader in, Before before)
      throws IOException, MalformedMessageException {
    if (in.next() == JsonToken.VALUE_STRING) {
      before.add(in.presentName());
    } else {
      before.present = (int) Math.min(in.presentCount(), before.origins.size());
    }
    if (before.present >= before.origins.size()) {
      throw new MalformedMessageException("with a submitter that was not named");
    }
  }

  static List<ChangeEntry> read(MessageReader in) throws IOException, MalformedMessageException {
    in.expect(JsonToken.START_ARRAY);
    List<ChangeEntry> entries = new ArrayList<>();
    JsonToken token = in.next();
    if (token == JsonToken.END_ARRAY) {
      return entries;
    }
    long index = in.presentCount();
    Before before = new Before();
    while (in.next() == JsonToken.VALUE_NUMBER_INT && entries.size() < MAX_ENTRIES) {
      entries.add(read(in, index + entries.size(), before));
    }
    if (in.present() != JsonToken.END_ARRAY || entries.isEmpty() || index < 1) {
      throw new MalformedMessageException("with entries of another form, or too many");
    }
    return List.copyOf(entries);
  }

  private static ChangeEntry read(MessageReader in, long index, Before before)
      throws IOException, MalformedMessageException {
    long code = in.presentCount();
    int kind = (int) code % NEW_EPOCH;
    if (code >= 2 * NEW_ORIGIN) {
      throw new MalformedMessageException("with an unknown kind of change: " + code);
    }
    if ((code & NEW_EPOCH) != 0) {
      before.epoch = new Epoch(in.count(), in.name(), in.number());
    }
    if ((code & NEW_ORIGIN) != 0) {
      readOrigin(in, before);
    }
    ChangeId id = id(in, before);
    int version = in.small(MAX_VERSION);
    if (kind == CONFIGURATION) {
      String document = TextForm.document(in);
      return new ChangeEntry(index, before.epoch, id, new ConfigurationChange(version, document));
    }
    before.requestedAtMs += in.number();
    PurgeScope scope = PurgeScope.values()[kind];
    return new ChangeEntry(index, before.epoch, id,
        new PurgeChange(version, scope, TextForm.value(in), before.requestedAtMs));
  }

  private static ChangeId id(MessageReader in, Before before) throws IOException, MalformedMessageException {
    if (before.present < 0) {
      throw new MalformedMessageException("with an entry of nobody");
    }
    long number = before.numbers.get(before.present) + in.number();
    before.numbers.set(before.present, number);
    return new ChangeId(before.origins.get(before.present), number);
  }
}
