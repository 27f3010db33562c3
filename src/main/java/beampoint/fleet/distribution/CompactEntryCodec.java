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
 * Encodes and decodes consecutive entries. The index of an entry follows from the first one; its epoch and
 * its submitter are written only if they differ from those of the previous entry. Times and numbers are
 * written as differences.
 */
final class CompactEntryCodec {

  static final int MAX_ENTRIES = 4_096;
  private static final int CONFIGURATION = PurgeScope.values().length; // lower kinds are purges of a scope
  private static final int NEW_EPOCH = 4;
  private static final int NEW_SUBMITTER = 8;
  private static final int MAX_VERSION = 1_000_000;

  private CompactEntryCodec() {}

  /** The values of the preceding entries to which the next entry refers. */
  private static final class Context {
    private Epoch epoch = Epoch.NONE;
    private long requestedAtMs;
    private final List<String> submitters = new ArrayList<>();
    private final List<Long> lastNumbers = new ArrayList<>(); // by submitter
    private int currentSubmitter = -1; // index in submitters, of the previous entry; -1 if there is none

    private void addSubmitter(String submitter) {
      currentSubmitter = submitters.size();
      submitters.add(submitter);
      lastNumbers.add(0L);
    }

    private boolean isCurrentSubmitter(String submitter) {
      return currentSubmitter >= 0 && submitters.get(currentSubmitter).equals(submitter);
    }
  }

  static void write(JsonGenerator out, List<ChangeEntry> entries) throws IOException {
    out.writeStartArray();
    if (!entries.isEmpty()) {
      out.writeNumber(entries.get(0).index());
    }
    Context context = new Context();
    for (ChangeEntry entry : entries) {
      write(out, entry, context);
    }
    out.writeEndArray();
  }

  private static void write(JsonGenerator out, ChangeEntry entry, Context context) throws IOException {
    Change change = entry.change();
    boolean hasEpoch = !entry.epoch().equals(context.epoch);
    boolean hasNewSubmitter = !context.isCurrentSubmitter(entry.id().submitter());
    int kind = change instanceof PurgeChange purge ? purge.scope().ordinal() : CONFIGURATION;
    out.writeNumber(kind + (hasEpoch ? NEW_EPOCH : 0) + (hasNewSubmitter ? NEW_SUBMITTER : 0));
    if (hasEpoch) {
      out.writeNumber(entry.epoch().number());
      out.writeString(entry.epoch().holder());
      out.writeNumber(entry.epoch().life());
      context.epoch = entry.epoch();
    }
    if (hasNewSubmitter) {
      writeSubmitter(out, entry.id().submitter(), context);
    }
    out.writeNumber(entry.id().number() - context.lastNumbers.get(context.currentSubmitter));
    context.lastNumbers.set(context.currentSubmitter, entry.id().number());
    out.writeNumber(change.formatVersion());
    if (change instanceof PurgeChange purge) {
      out.writeNumber(purge.requestedAtMs() - context.requestedAtMs);
      context.requestedAtMs = purge.requestedAtMs();
      TextCodec.writeValue(out, purge.value());
    } else if (change instanceof ConfigurationChange configuration) {
      TextCodec.writeDocument(out, configuration.document());
    }
  }

  /** Writes a submitter by its name the first time, and from then on by its position among those written. */
  private static void writeSubmitter(JsonGenerator out, String submitter, Context context)
      throws IOException {
    int index = context.submitters.indexOf(submitter);
    if (index >= 0) {
      out.writeNumber(index);
      context.currentSubmitter = index;
    } else {
      out.writeString(submitter);
      context.addSubmitter(submitter);
    }
  }

  private static void readSubmitter(MessageReader in, Context context)
      throws IOException, MalformedMessageException {
    if (in.next() == JsonToken.VALUE_STRING) {
      context.addSubmitter(in.currentName());
    } else {
      context.currentSubmitter = (int) Math.min(in.currentNonNegative(), context.submitters.size());
    }
    if (context.currentSubmitter >= context.submitters.size()) {
      throw new MalformedMessageException("reference to an unknown submitter");
    }
  }

  static List<ChangeEntry> read(MessageReader in) throws IOException, MalformedMessageException {
    in.expect(JsonToken.START_ARRAY);
    List<ChangeEntry> entries = new ArrayList<>();
    JsonToken token = in.next();
    if (token == JsonToken.END_ARRAY) {
      return entries;
    }
    long index = in.currentNonNegative();
    Context context = new Context();
    while (in.next() == JsonToken.VALUE_NUMBER_INT && entries.size() < MAX_ENTRIES) {
      entries.add(read(in, index + entries.size(), context));
    }
    if (in.current() != JsonToken.END_ARRAY || entries.isEmpty() || index < 1) {
      throw new MalformedMessageException("malformed list of entries, or more than " + MAX_ENTRIES);
    }
    return List.copyOf(entries);
  }

  private static ChangeEntry read(MessageReader in, long index, Context context)
      throws IOException, MalformedMessageException {
    long code = in.currentNonNegative();
    int kind = (int) code % NEW_EPOCH;
    if (code >= 2 * NEW_SUBMITTER) {
      throw new MalformedMessageException("unknown kind of change: " + code);
    }
    if ((code & NEW_EPOCH) != 0) {
      context.epoch = new Epoch(in.readNonNegative(), in.readName(), in.readLong());
    }
    if ((code & NEW_SUBMITTER) != 0) {
      readSubmitter(in, context);
    }
    ChangeId id = readId(in, context);
    int version = in.readInt(MAX_VERSION);
    if (kind == CONFIGURATION) {
      String document = TextCodec.readDocument(in);
      return new ChangeEntry(index, context.epoch, id, new ConfigurationChange(version, document));
    }
    context.requestedAtMs += in.readLong();
    PurgeScope scope = PurgeScope.values()[kind];
    return new ChangeEntry(index, context.epoch, id,
        new PurgeChange(version, scope, TextCodec.readValue(in), context.requestedAtMs));
  }

  private static ChangeId readId(MessageReader in, Context context)
      throws IOException, MalformedMessageException {
    if (context.currentSubmitter < 0) {
      throw new MalformedMessageException("entry without a submitter");
    }
    long number = context.lastNumbers.get(context.currentSubmitter) + in.readLong();
    context.lastNumbers.set(context.currentSubmitter, number);
    return new ChangeId(context.submitters.get(context.currentSubmitter), number);
  }
}
