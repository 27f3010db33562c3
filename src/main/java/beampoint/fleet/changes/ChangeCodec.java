package beampoint.fleet.changes;

import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.Committed;
import beampoint.fleet.changes.LogMessage.Fetch;
import beampoint.fleet.changes.LogMessage.LeaseEnvelope;
import beampoint.fleet.changes.LogMessage.Recover;
import beampoint.fleet.changes.LogMessage.Recovered;
import beampoint.fleet.changes.LogMessage.Refused;
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
 * decoder throws {@link MalformedChangeException} and no other exception.
 */
public final class ChangeCodec {

  /** The maximum length of a message in bytes. */
  public static final int MAX_BYTES = 1 << 20;

  /** The maximum number of parts of a snapshot. */
  static final int MAX_PARTS = 4_096;

  /** The maximum number of submitters in a snapshot. */
  static final int MAX_ORIGINS = 1_024;

  private static final int VERSION = 1;
  private static final int MAX_DEPTH = 4;
  private static final int MAX_DIGITS = 20;
  private static final CBORFactory CBOR = CBORFactory.builder()
      .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH)
          .maxStringLength(ConfigurationChange.MAX_DOCUMENT_BYTES).maxNumberLength(MAX_DIGITS).build())
      .build();

  /** The kinds of messages. Their ordinals are sent on the wire, so new kinds are added at the end. */
  private enum Kind {
    LEASE_REQUEST, LEASE_PROMISE, LEASE_DENIAL, LEASE_RELEASE, RECOVER, RECOVERED, APPEND, ACCEPTED, REFUSED,
    FETCH, COMMITTED, SNAPSHOT_PART, REJOIN, REJOIN_ANSWER
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
    } else if (message instanceof Recover m) {
      writeKind(out, Kind.RECOVER, m.epoch());
    } else if (message instanceof Recovered m) {
      writeKind(out, Kind.RECOVERED, m.epoch());
      EntryCodec.write(out, m.identity());
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
    } else if (message instanceof Refused m) {
      writeKind(out, Kind.REFUSED, m.fence());
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
    EntryCodec.write(out, m.identity());
    out.writeNumber(m.life());
    out.writeBoolean(m.founder());
    out.writeNumber(m.start());
    out.writeNumber(m.commit());
    out.writeNumber(m.last());
    EntryCodec.write(out, m.entries());
  }

  private static void writeCatchUp(JsonGenerator out, LogMessage message) throws IOException {
    if (message instanceof Fetch m) {
      writeKind(out, Kind.FETCH, m.identity());
      out.writeNumber(m.from());
      out.writeNumber(m.snapshotIndex());
      out.writeNumber(m.part());
    } else if (message instanceof Committed m) {
      writeKind(out, Kind.COMMITTED, m.identity());
      EntryCodec.write(out, m.entries());
    } else if (message instanceof SnapshotPart m) {
      writeSnapshotPart(out, m);
    } else if (message instanceof Rejoin m) {
      writeKind(out, Kind.REJOIN);
      out.writeNumber(m.life());
    } else if (message instanceof RejoinAnswer m) {
      writeKind(out, Kind.REJOIN_ANSWER, m.identity());
      out.writeNumber(m.life());
      out.writeBoolean(m.voter());
      EntryCodec.write(out, m.fence());
    }
  }

  private static void writeSnapshotPart(JsonGenerator out, SnapshotPart m) throws IOException {
    writeKind(out, Kind.SNAPSHOT_PART, m.identity());
    out.writeNumber(m.index());
    out.writeNumber(m.completeFrom());
    out.writeNumber(m.part());
    out.writeNumber(m.parts());
    EntryCodec.write(out, m.entries());
    out.writeNumber(m.floors().size());
    for (Map.Entry<String, Long> floor : m.floors().entrySet()) {
      out.writeString(floor.getKey());
      out.writeNumber(floor.getValue());
    }
  }

  /**
   * Decodes a message of this cluster.
   *
   * @throws MalformedChangeException if the bytes are not a message of this cluster and version
   */
  public LogMessage read(byte[] bytes) throws MalformedChangeException {
    if (bytes.length > MAX_BYTES) {
      throw new MalformedChangeException("message longer than " + MAX_BYTES + " bytes: " + bytes.length);
    }
    try (JsonParser parser = CBOR.createParser(bytes)) {
      MessageReader in = new MessageReader(parser);
      in.beginArray();
      if (!in.name().equals(cluster)) {
        throw new MalformedChangeException("sent by another cluster");
      }
      long version = in.number();
      if (version != VERSION) {
        throw new MalformedChangeException("version other than " + VERSION + ": " + version);
      }
      LogMessage message = read(in, Kind.values()[(int) in.numberBetween(0, Kind.values().length - 1)]);
      in.endArray();
      in.endOfMessage();
      return message;
    } catch (IOException | RuntimeException e) {
      throw new MalformedChangeException("invalid message: " + e.getMessage());
    }
  }

  private static LogMessage read(MessageReader in, Kind kind) throws IOException, MalformedChangeException {
    return switch (kind) {
      case LEASE_REQUEST -> new LeaseEnvelope(new Request(in.epoch(), in.index()));
      case LEASE_PROMISE -> new LeaseEnvelope(new Promise(in.epoch(), in.index()));
      case LEASE_DENIAL -> new LeaseEnvelope(new Denial(in.index()));
      case LEASE_RELEASE -> new LeaseEnvelope(new Release(in.epoch()));
      case RECOVER -> new Recover(in.epoch());
      case RECOVERED -> recovered(in);
      case APPEND -> append(in);
      case ACCEPTED ->
        new Accepted(in.epoch(), in.number(), in.bool(), in.bool(), in.index(), in.index());
      case REFUSED -> new Refused(in.epoch());
      case FETCH -> new Fetch(in.epoch(), in.index(), in.index(), (int) in.numberBetween(0, MAX_PARTS - 1));
      case COMMITTED -> new Committed(in.epoch(), EntryCodec.readWithoutGaps(in));
      case SNAPSHOT_PART -> snapshotPart(in);
      case REJOIN -> new Rejoin(in.number());
      case REJOIN_ANSWER -> rejoinAnswer(in);
    };
  }

  private static Recovered recovered(MessageReader in) throws IOException, MalformedChangeException {
    Recovered message = new Recovered(in.epoch(), in.epoch(), in.number(), in.bool(), in.epoch(), in.index(),
        EntryCodec.readWithoutGaps(in));
    if (!message.tail().isEmpty() && message.tail().get(0).index() != message.commit() + 1) {
      throw new MalformedChangeException("tail does not follow the commit index");
    }
    return message;
  }

  private static Append append(MessageReader in) throws IOException, MalformedChangeException {
    return new Append(in.epoch(), in.epoch(), in.number(), in.bool(), in.index(), in.index(), in.index(),
        EntryCodec.readWithoutGaps(in));
  }

  private static RejoinAnswer rejoinAnswer(MessageReader in) throws IOException, MalformedChangeException {
    Epoch identity = in.epoch();
    return new RejoinAnswer(in.number(), identity, in.bool(), in.epoch());
  }

  private static SnapshotPart snapshotPart(MessageReader in) throws IOException, MalformedChangeException {
    Epoch identity = in.epoch();
    long index = in.index();
    long completeFrom = in.numberBetween(0, index);
    int part = (int) in.numberBetween(0, MAX_PARTS - 1);
    int parts = (int) in.numberBetween(part + 1L, MAX_PARTS);
    List<ChangeEntry> entries = EntryCodec.read(in);
    if (!entries.isEmpty() && entries.get(entries.size() - 1).index() > index) {
      throw new MalformedChangeException("snapshot part has an entry after the index of the snapshot");
    }
    return new SnapshotPart(identity, index, completeFrom, part, parts, entries, floors(in));
  }

  private static SortedMap<String, Long> floors(MessageReader in)
      throws IOException, MalformedChangeException {
    SortedMap<String, Long> floors = new TreeMap<>();
    for (long remaining = in.numberBetween(0, MAX_ORIGINS); remaining > 0; remaining--) {
      ChangeId floor = new ChangeId(in.text(), in.number());
      if (floors.put(floor.origin(), floor.number()) != null) {
        throw new MalformedChangeException("duplicate submitter in a snapshot part");
      }
    }
    return Collections.unmodifiableSortedMap(floors);
  }
}
