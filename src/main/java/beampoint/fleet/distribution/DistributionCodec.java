package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.distribution.DistributionMessage.Batch;
import beampoint.fleet.distribution.DistributionMessage.Fetch;
import beampoint.fleet.distribution.DistributionMessage.Refusal;
import beampoint.fleet.distribution.DistributionMessage.Report;
import beampoint.fleet.distribution.DistributionMessage.SnapshotReply;
import beampoint.fleet.distribution.DistributionMessage.Unsubscribe;
import beampoint.fleet.facts.Epoch;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Messages of the distribution tree in CBOR (RFC 8949): one array that begins with the cluster's name, the
 * version of the form and the kind of message. Any bytes may come: what can't be read is a
 * {@link MalformedMessageException} and nothing else.
 */
public final class DistributionCodec {

  /** The most bytes of a message; what does not fit a datagram goes over a connection. */
  public static final int MAX_BYTES = 80 * 1024;

  private static final int VERSION = 1;
  private static final int MAX_PROGRESS = 256;
  private static final int MAX_ECHOES = 64;
  private static final int MAX_DEPTH = 4;
  private static final int REPORT = 1;
  private static final int BATCH = 2;
  private static final int FETCH = 3;
  private static final int SNAPSHOT = 4;
  private static final int REFUSAL = 5;
  private static final int UNSUBSCRIBE = 6;
  private static final CBORFactory FORM = CBORFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH)
          .maxStringLength(ConfigurationChange.MAX_DOCUMENT_BYTES).maxNumberLength(20).build())
      .build();

  private final String cluster;

  public DistributionCodec(String cluster) {
    this.cluster = cluster;
  }

  /** The bytes of a message. */
  public byte[] write(DistributionMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = FORM.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeString(cluster);
      out.writeNumber(VERSION);
      writeBody(out, message);
      out.writeEndArray();
    } catch (IOException e) {
      throw new IllegalStateException("bytes in memory can't be written", e);
    }
    return bytes.toByteArray();
  }

  private static void writeBody(JsonGenerator out, DistributionMessage message) throws IOException {
    if (message instanceof Report m) {
      begin(out, REPORT, m);
      write(out, m);
    } else if (message instanceof Batch m) {
      begin(out, BATCH, m);
      write(out, m);
    } else if (message instanceof Fetch m) {
      begin(out, FETCH, m);
      out.writeNumber(m.from());
    } else if (message instanceof SnapshotReply m) {
      begin(out, SNAPSHOT, m);
      write(out, m.snapshot());
    } else if (message instanceof Refusal m) {
      begin(out, REFUSAL, m);
      out.writeNumber(m.session());
    } else if (message instanceof Unsubscribe m) {
      begin(out, UNSUBSCRIBE, m);
      out.writeNumber(m.session());
    }
  }

  private static void begin(JsonGenerator out, int kind, DistributionMessage message) throws IOException {
    out.writeNumber(kind);
    out.writeNumber(message.log());
  }

  private static void write(JsonGenerator out, Report report) throws IOException {
    out.writeNumber(report.session());
    out.writeNumber(report.token());
    out.writeNumber(report.appliedUpTo());
    out.writeStartArray();
    for (MemberProgress each : report.progress()) {
      out.writeString(each.member());
      out.writeNumber(each.life());
      out.writeNumber(each.appliedUpTo() - report.appliedUpTo());
      out.writeNumber(each.refused());
    }
    out.writeEndArray();
  }

  private static void write(JsonGenerator out, Batch batch) throws IOException {
    out.writeNumber(batch.session());
    out.writeNumber(batch.sourceAge());
    out.writeNumber(batch.head());
    out.writeNumber(batch.head() - batch.sentUpTo());
    out.writeStartArray();
    for (long echo : batch.echoes()) {
      out.writeNumber(echo);
    }
    out.writeEndArray();
    EntryForm.write(out, batch.entries());
  }

  private static void write(JsonGenerator out, ConfigurationSnapshot snapshot) throws IOException {
    out.writeNumber(snapshot.index());
    out.writeNumber(snapshot.epoch().number());
    out.writeString(snapshot.epoch().holder());
    out.writeNumber(snapshot.epoch().life());
    EntryForm.write(out, snapshot.configuration() == null ? List.of() : List.of(snapshot.configuration()));
  }

  /** Reads a message of this cluster. */
  public DistributionMessage read(byte[] bytes, int length) throws MalformedMessageException {
    if (length > MAX_BYTES) {
      throw new MalformedMessageException("longer than a message may be: " + length);
    }
    try (JsonParser parser = FORM.createParser(bytes, 0, length)) {
      MessageReader in = new MessageReader(parser);
      in.expect(JsonToken.START_ARRAY);
      if (!in.name().equals(cluster)) {
        throw new MalformedMessageException("of another cluster");
      }
      long version = in.number();
      if (version != VERSION) {
        throw new MalformedMessageException("of an unknown version: " + version);
      }
      DistributionMessage message = body(in, in.small(UNSUBSCRIBE), in.count());
      in.end();
      return message;
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("no message: " + e.getMessage(), e);
    }
  }

  private static DistributionMessage body(MessageReader in, int kind, long log)
      throws IOException, MalformedMessageException {
    return switch (kind) {
      case REPORT -> report(in, log);
      case BATCH -> batch(in, log);
      case FETCH -> new Fetch(log, in.count());
      case SNAPSHOT -> new SnapshotReply(log, snapshot(in));
      case REFUSAL -> new Refusal(log, in.count());
      case UNSUBSCRIBE -> new Unsubscribe(log, in.count());
      default -> throw new MalformedMessageException("of an unknown kind: " + kind);
    };
  }

  private static Report report(MessageReader in, long log) throws IOException, MalformedMessageException {
    long session = in.count();
    long token = in.count();
    long applied = in.count();
    in.expect(JsonToken.START_ARRAY);
    List<MemberProgress> progress = new ArrayList<>();
    while (in.next() == JsonToken.VALUE_STRING && progress.size() < MAX_PROGRESS) {
      progress.add(new MemberProgress(in.presentName(), in.count(), notNegative(applied + in.number()),
          in.count()));
    }
    in.expectPresent(JsonToken.END_ARRAY);
    return new Report(log, session, token, applied, List.copyOf(progress));
  }

  private static long notNegative(long index) throws MalformedMessageException {
    if (index < 0) {
      throw new MalformedMessageException("with an index below 0");
    }
    return index;
  }

  private static Batch batch(MessageReader in, long log) throws IOException, MalformedMessageException {
    long session = in.count();
    long sourceAge = in.count();
    long head = in.count();
    long sentUpTo = notNegative(head - in.number());
    in.expect(JsonToken.START_ARRAY);
    List<Long> echoes = new ArrayList<>();
    while (in.next() == JsonToken.VALUE_NUMBER_INT && echoes.size() < MAX_ECHOES) {
      echoes.add(in.presentCount());
    }
    in.expectPresent(JsonToken.END_ARRAY);
    return new Batch(log, session, sourceAge, head, sentUpTo, List.copyOf(echoes), EntryForm.read(in));
  }

  private static ConfigurationSnapshot snapshot(MessageReader in)
      throws IOException, MalformedMessageException {
    long index = in.count();
    Epoch epoch = new Epoch(in.count(), in.name(), in.number());
    List<ChangeEntry> entries = EntryForm.read(in);
    if (entries.size() > 1 || !entries.isEmpty() && entries.get(0).index() > index) {
      throw new MalformedMessageException("with an odd snapshot");
    }
    return new ConfigurationSnapshot(index, epoch, entries.isEmpty() ? null : entries.get(0));
  }
}
