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
 * Encodes and decodes the messages of the distribution tree in CBOR (RFC 8949). A message is one array that
 * begins with the name of the cluster, the version of the format and the kind of message. The input may be
 * arbitrary bytes: decoding fails with a {@link MalformedMessageException} and no other exception.
 */
public final class DistributionCodec {

  /** The maximum size of a message. Messages that do not fit into a datagram are sent over a connection. */
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
  private static final CBORFactory CBOR = CBORFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH)
          .maxStringLength(ConfigurationChange.MAX_DOCUMENT_BYTES).maxNumberLength(20).build())
      .build();

  private final String cluster;

  /** Creates a codec that accepts messages of one cluster only. */
  public DistributionCodec(String cluster) {
    this.cluster = cluster;
  }

  /** Encodes a message. */
  public byte[] write(DistributionMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeString(cluster);
      out.writeNumber(VERSION);
      writeKindAndBody(out, message);
      out.writeEndArray();
    } catch (IOException e) {
      throw new IllegalStateException("failed to encode a message in memory", e);
    }
    return bytes.toByteArray();
  }

  private static void writeKindAndBody(JsonGenerator out, DistributionMessage message) throws IOException {
    if (message instanceof Report m) {
      writeHeader(out, REPORT, m);
      write(out, m);
    } else if (message instanceof Batch m) {
      writeHeader(out, BATCH, m);
      write(out, m);
    } else if (message instanceof Fetch m) {
      writeHeader(out, FETCH, m);
      out.writeNumber(m.from());
    } else if (message instanceof SnapshotReply m) {
      writeHeader(out, SNAPSHOT, m);
      write(out, m.snapshot());
    } else if (message instanceof Refusal m) {
      writeHeader(out, REFUSAL, m);
      out.writeNumber(m.session());
    } else if (message instanceof Unsubscribe m) {
      writeHeader(out, UNSUBSCRIBE, m);
      out.writeNumber(m.session());
    }
  }

  private static void writeHeader(JsonGenerator out, int kind, DistributionMessage message)
      throws IOException {
    out.writeNumber(kind);
    out.writeNumber(message.logId());
  }

  private static void write(JsonGenerator out, Report report) throws IOException {
    out.writeNumber(report.session());
    out.writeNumber(report.token());
    out.writeNumber(report.appliedUpTo());
    out.writeStartArray();
    for (MemberProgress each : report.progress()) {
      out.writeString(each.member());
      out.writeNumber(each.processNumber());
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
    CompactEntryCodec.write(out, batch.entries());
  }

  private static void write(JsonGenerator out, ConfigurationSnapshot snapshot) throws IOException {
    out.writeNumber(snapshot.index());
    out.writeNumber(snapshot.epoch().number());
    out.writeString(snapshot.epoch().holder());
    out.writeNumber(snapshot.epoch().life());
    CompactEntryCodec.write(out,
        snapshot.configuration() == null ? List.of() : List.of(snapshot.configuration()));
  }

  /**
   * Decodes a message of this cluster.
   *
   * @throws MalformedMessageException if the bytes are not such a message, or have another version
   */
  public DistributionMessage read(byte[] bytes, int length) throws MalformedMessageException {
    if (length > MAX_BYTES) {
      throw new MalformedMessageException("message of " + length + " bytes is longer than " + MAX_BYTES);
    }
    try (JsonParser parser = CBOR.createParser(bytes, 0, length)) {
      MessageReader in = new MessageReader(parser);
      in.expect(JsonToken.START_ARRAY);
      if (!in.readName().equals(cluster)) {
        throw new MalformedMessageException("message of another cluster");
      }
      long version = in.readLong();
      if (version != VERSION) {
        throw new MalformedMessageException(
            "message version " + version + " is not the supported version " + VERSION);
      }
      DistributionMessage message = readBody(in, in.readInt(UNSUBSCRIBE), in.readNonNegative());
      in.expectEnd();
      return message;
    } catch (IOException | RuntimeException e) {
      throw new MalformedMessageException("malformed message: " + e.getMessage(), e);
    }
  }

  private static DistributionMessage readBody(MessageReader in, int kind, long logId)
      throws IOException, MalformedMessageException {
    return switch (kind) {
      case REPORT -> readReport(in, logId);
      case BATCH -> readBatch(in, logId);
      case FETCH -> new Fetch(logId, in.readNonNegative());
      case SNAPSHOT -> new SnapshotReply(logId, readSnapshot(in));
      case REFUSAL -> new Refusal(logId, in.readNonNegative());
      case UNSUBSCRIBE -> new Unsubscribe(logId, in.readNonNegative());
      default -> throw new MalformedMessageException("unknown kind of message: " + kind);
    };
  }

  private static Report readReport(MessageReader in, long logId)
      throws IOException, MalformedMessageException {
    long session = in.readNonNegative();
    long token = in.readNonNegative();
    long applied = in.readNonNegative();
    in.expect(JsonToken.START_ARRAY);
    List<MemberProgress> progress = new ArrayList<>();
    while (in.next() == JsonToken.VALUE_STRING && progress.size() < MAX_PROGRESS) {
      progress.add(new MemberProgress(in.currentName(), in.readNonNegative(),
          checkNotNegative(applied + in.readLong()), in.readNonNegative()));
    }
    in.expectCurrent(JsonToken.END_ARRAY);
    return new Report(logId, session, token, applied, List.copyOf(progress));
  }

  private static long checkNotNegative(long index) throws MalformedMessageException {
    if (index < 0) {
      throw new MalformedMessageException("negative index: " + index);
    }
    return index;
  }

  private static Batch readBatch(MessageReader in, long logId) throws IOException, MalformedMessageException {
    long session = in.readNonNegative();
    long sourceAge = in.readNonNegative();
    long head = in.readNonNegative();
    long sentUpTo = checkNotNegative(head - in.readLong());
    in.expect(JsonToken.START_ARRAY);
    List<Long> echoes = new ArrayList<>();
    while (in.next() == JsonToken.VALUE_NUMBER_INT && echoes.size() < MAX_ECHOES) {
      echoes.add(in.currentNonNegative());
    }
    in.expectCurrent(JsonToken.END_ARRAY);
    return new Batch(logId, session, sourceAge, head, sentUpTo, List.copyOf(echoes),
        CompactEntryCodec.read(in));
  }

  private static ConfigurationSnapshot readSnapshot(MessageReader in)
      throws IOException, MalformedMessageException {
    long index = in.readNonNegative();
    Epoch epoch = new Epoch(in.readNonNegative(), in.readName(), in.readLong());
    List<ChangeEntry> entries = CompactEntryCodec.read(in);
    if (entries.size() > 1 || !entries.isEmpty() && entries.get(0).index() > index) {
      throw new MalformedMessageException(
          "snapshot with several entries, or with an entry after its index " + index);
    }
    return new ConfigurationSnapshot(index, epoch, entries.isEmpty() ? null : entries.get(0));
  }
}
