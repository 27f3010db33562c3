package beampoint.fleet.changes;

import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.CommittedEntries;
import beampoint.fleet.changes.LogMessage.EpochRejected;
import beampoint.fleet.changes.LogMessage.Fetch;
import beampoint.fleet.changes.LogMessage.LeaseEnvelope;
import beampoint.fleet.changes.LogMessage.LogReply;
import beampoint.fleet.changes.LogMessage.LogRequest;
import beampoint.fleet.changes.LogMessage.Rejoin;
import beampoint.fleet.changes.LogMessage.RejoinAnswer;
import beampoint.fleet.changes.LogMessage.SnapshotPart;
import beampoint.fleet.facts.Epoch;
import beampoint.fleet.lease.LeaseMessage.Denial;
import beampoint.fleet.lease.LeaseMessage.Promise;
import beampoint.fleet.lease.LeaseMessage.Release;
import beampoint.fleet.lease.LeaseMessage.Request;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Encodes and decodes the messages of the change log in CBOR (RFC 8949). A message is one array that begins
 * with the name of the cluster, the version of the format and the kind of message. For any other bytes, the
 * decoder throws {@link MalformedLogMessageException} and no other exception.
 */
public final class ChangeCodec {

  /** The maximum length of a message in bytes. */
  public static final int MAX_BYTES = 1 << 20;

  /** The maximum number of parts of a snapshot. */
  static final int MAX_PARTS = 4_096;

  /** The maximum number of submitters in a snapshot. */
  static final int MAX_SUBMITTERS = 1_024;

  private static final int VERSION = 1;
  private static final int MAX_DEPTH = 4;
  private static final int MAX_DIGITS = 20;
  private static final CBORFactory CBOR = CBORFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH)
          .maxStringLength(ConfigurationChange.MAX_DOCUMENT_BYTES).maxNumberLength(MAX_DIGITS).build())
      .build();

  /** The kinds of messages. Their ordinals are sent on the wire, so new kinds are added at the end. */
  private enum Kind {
    LEASE_REQUEST, LEASE_PROMISE, LEASE_DENIAL, LEASE_RELEASE, LOG_REQUEST, LOG_REPLY, APPEND, ACCEPTED,
    EPOCH_REJECTED,
    FETCH, COMMITTED_ENTRIES, SNAPSHOT_PART, REJOIN, REJOIN_ANSWER
  }

  private final String cluster;

  /** Creates the codec of a cluster; messages of other clusters are rejected. */
  public ChangeCodec(String cluster) {
    this.cluster = cluster;
  }

  /**
   * Encodes a message.
   *
   * @throws IllegalArgumentException if it is longer than {@link #MAX_BYTES}
   */
  public byte[] write(LogMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = CBOR.createGenerator(bytes)) {
      out.writeStartArray();
      out.writeString(cluster);
      out.writeNumber(VERSION);
      write(out, message);
      out.writeEndArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a message in memory", e);
    }
    if (bytes.size() > MAX_BYTES) {
      throw new IllegalArgumentException(
          "message longer than " + MAX_BYTES + " bytes: " + bytes.size() + " bytes");
    }
    return bytes.toByteArray();
  }

  private static void writeKind(JsonGenerator out, Kind kind) throws IOException {
    out.writeNumber(kind.ordinal());
  }

  private static void writeKind(JsonGenerator out, Kind kind, Epoch epoch) throws IOException {
    writeKind(out, kind);
    EntryCodec.write(out, epoch);
  }

  private static void write(JsonGenerator out, LogMessage message) throws IOException {
    if (message instanceof LeaseEnvelope m) {
      writeLease(out, m);
    } else if (message instanceof LogRequest m) {
      writeKind(out, Kind.LOG_REQUEST, m.epoch());
    } else if (message instanceof LogReply m) {
      writeKind(out, Kind.LOG_REPLY, m.epoch());
      EntryCodec.write(out, m.foundingEpoch());
      out.writeNumber(m.life());
      out.writeBoolean(m.voter());
      EntryCodec.write(out, m.accepted());
      out.writeNumber(m.commit());
      EntryCodec.write(out, m.tail());
    } else if (message instanceof Append m) {
      writeAppend(out, m);
    } else if (message instanceof Accepted m) {
      writeKind(out, Kind.ACCEPTED, m.epoch());
      out.writeNumber(m.life());
      out.writeBoolean(m.inSync());
      out.writeBoolean(m.voter());
      out.writeNumber(m.last());
      out.writeNumber(m.commit());
    } else if (message instanceof EpochRejected m) {
      writeKind(out, Kind.EPOCH_REJECTED, m.fence());
    } else {
      writeCatchUp(out, message);
    }
  }

  private static void writeLease(JsonGenerator out, LeaseEnvelope message) throws IOException {
    if (message.message() instanceof Request m) {
      writeKind(out, Kind.LEASE_REQUEST, m.epoch());
      out.writeNumber(m.round());
    } else if (message.message() instanceof Promise m) {
      writeKind(out, Kind.LEASE_PROMISE, m.epoch());
      out.writeNumber(m.round());
    } else if (message.message() instanceof Denial m) {
      writeKind(out, Kind.LEASE_DENIAL);
      out.writeNumber(m.known());
    } else if (message.message() instanceof Release m) {
      writeKind(out, Kind.LEASE_RELEASE, m.epoch());
    }
  }

  private static void writeAppend(JsonGenerator out, Append m) throws IOException {
    writeKind(out, Kind.APPEND, m.epoch());
    EntryCodec.write(out, m.foundingEpoch());
    out.writeNumber(m.life());
    out.writeBoolean(m.founder());
    out.writeNumber(m.start());
    out.writeNumber(m.commit());
    out.writeNumber(m.last());
    EntryCodec.write(out, m.entries());
  }

  private static void writeCatchUp(JsonGenerator out, LogMessage message) throws IOException {
    if (message instanceof Fetch m) {
      writeKind(out, Kind.FETCH, m.foundingEpoch());
      out.writeNumber(m.from());
      out.writeNumber(m.snapshotIndex());
      out.writeNumber(m.part());
    } else if (message instanceof CommittedEntries m) {
      writeKind(out, Kind.COMMITTED_ENTRIES, m.foundingEpoch());
      EntryCodec.write(out, m.entries());
    } else if (message instanceof SnapshotPart m) {
      writeSnapshotPart(out, m);
    } else if (message instanceof Rejoin m) {
      writeKind(out, Kind.REJOIN);
      out.writeNumber(m.life());
    } else if (message instanceof RejoinAnswer m) {
      writeKind(out, Kind.REJOIN_ANSWER, m.foundingEpoch());
      out.writeNumber(m.life());
      out.writeBoolean(m.voter());
      EntryCodec.write(out, m.fence());
    }
  }

  private static void writeSnapshotPart(JsonGenerator out, SnapshotPart m) throws IOException {
    writeKind(out, Kind.SNAPSHOT_PART, m.foundingEpoch());
    out.writeNumber(m.index());
    out.writeNumber(m.completeFrom());
    out.writeNumber(m.part());
    out.writeNumber(m.parts());
    EntryCodec.write(out, m.entries());
    out.writeNumber(m.droppedNumbers().size());
    for (Map.Entry<String, Long> droppedNumber : m.droppedNumbers().entrySet()) {
      out.writeString(droppedNumber.getKey());
      out.writeNumber(droppedNumber.getValue());
    }
  }

  /**
   * Decodes a message of this cluster.
   *
   * @throws MalformedLogMessageException if the bytes are not a message of this cluster and version
   */
  public LogMessage read(byte[] bytes) throws MalformedLogMessageException {
    if (bytes.length > MAX_BYTES) {
      throw new MalformedLogMessageException("message longer than " + MAX_BYTES + " bytes: " + bytes.length);
    }
    try (JsonParser parser = CBOR.createParser(bytes)) {
      MessageReader in = new MessageReader(parser);
      in.beginArray();
      if (!in.name().equals(cluster)) {
        throw new MalformedLogMessageException("sent by another cluster");
      }
      long version = in.number();
      if (version != VERSION) {
        throw new MalformedLogMessageException("version other than " + VERSION + ": " + version);
      }
      LogMessage message = read(in, Kind.values()[(int) in.numberBetween(0, Kind.values().length - 1)]);
      in.endArray();
      in.endOfMessage();
      return message;
    } catch (IOException | RuntimeException e) {
      throw new MalformedLogMessageException("invalid message: " + e.getMessage());
    }
  }

  private static LogMessage read(MessageReader in, Kind kind)
      throws IOException, MalformedLogMessageException {
    return switch (kind) {
      case LEASE_REQUEST -> new LeaseEnvelope(new Request(in.epoch(), in.index()));
      case LEASE_PROMISE -> new LeaseEnvelope(new Promise(in.epoch(), in.index()));
      case LEASE_DENIAL -> new LeaseEnvelope(new Denial(in.index()));
      case LEASE_RELEASE -> new LeaseEnvelope(new Release(in.epoch()));
      case LOG_REQUEST -> new LogRequest(in.epoch());
      case LOG_REPLY -> logReply(in);
      case APPEND -> append(in);
      case ACCEPTED ->
        new Accepted(in.epoch(), in.number(), in.bool(), in.bool(), in.index(), in.index());
      case EPOCH_REJECTED -> new EpochRejected(in.epoch());
      case FETCH -> new Fetch(in.epoch(), in.index(), in.index(), (int) in.numberBetween(0, MAX_PARTS - 1));
      case COMMITTED_ENTRIES -> new CommittedEntries(in.epoch(), EntryCodec.readWithoutGaps(in));
      case SNAPSHOT_PART -> snapshotPart(in);
      case REJOIN -> new Rejoin(in.number());
      case REJOIN_ANSWER -> rejoinAnswer(in);
    };
  }

  private static LogReply logReply(MessageReader in) throws IOException, MalformedLogMessageException {
    LogReply message = new LogReply(in.epoch(), in.epoch(), in.number(), in.bool(), in.epoch(), in.index(),
        EntryCodec.readWithoutGaps(in));
    if (!message.tail().isEmpty() && message.tail().get(0).index() != message.commit() + 1) {
      throw new MalformedLogMessageException("tail does not follow the commit index");
    }
    return message;
  }

  private static Append append(MessageReader in) throws IOException, MalformedLogMessageException {
    return new Append(in.epoch(), in.epoch(), in.number(), in.bool(), in.index(), in.index(), in.index(),
        EntryCodec.readWithoutGaps(in));
  }

  private static RejoinAnswer rejoinAnswer(MessageReader in)
      throws IOException, MalformedLogMessageException {
    Epoch foundingEpoch = in.epoch();
    return new RejoinAnswer(in.number(), foundingEpoch, in.bool(), in.epoch());
  }

  private static SnapshotPart snapshotPart(MessageReader in)
      throws IOException, MalformedLogMessageException {
    Epoch foundingEpoch = in.epoch();
    long index = in.index();
    long completeFrom = in.numberBetween(0, index);
    int part = (int) in.numberBetween(0, MAX_PARTS - 1);
    int parts = (int) in.numberBetween(part + 1L, MAX_PARTS);
    List<ChangeEntry> entries = EntryCodec.read(in);
    if (!entries.isEmpty() && entries.get(entries.size() - 1).index() > index) {
      throw new MalformedLogMessageException("snapshot part has an entry after the index of the snapshot");
    }
    return new SnapshotPart(foundingEpoch, index, completeFrom, part, parts, entries, droppedNumbers(in));
  }

  private static SortedMap<String, Long> droppedNumbers(MessageReader in)
      throws IOException, MalformedLogMessageException {
    SortedMap<String, Long> droppedNumbers = new TreeMap<>();
    for (long remaining = in.numberBetween(0, MAX_SUBMITTERS); remaining > 0; remaining--) {
      ChangeId droppedNumber = new ChangeId(in.text(), in.number());
      if (droppedNumbers.put(droppedNumber.submitter(), droppedNumber.number()) != null) {
        throw new MalformedLogMessageException("duplicate submitter in a snapshot part");
      }
    }
    return Collections.unmodifiableSortedMap(droppedNumbers);
  }
}
