package beampoint.fleet.changes;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

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
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedMap;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Encodes and decodes change log messages, and decodes malformed ones. */
class ChangeCodecTest {

  private static final ChangeCodec CODEC = new ChangeCodec("north");
  private static final Epoch EPOCH = new Epoch(7, "control-1", -9);
  private static final SortedMap<String, Long> NO_FLOORS = Collections.emptySortedMap();

  private static ChangeEntry entry(long index, Change change) {
    return new ChangeEntry(index, EPOCH, new ChangeId("sübmitter", 1L << 40), change);
  }

  private static List<ChangeEntry> purges(long from, int count, String value) {
    List<ChangeEntry> entries = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      PurgeScope scope = PurgeScope.values()[i % 3];
      entries.add(entry(from + i, new PurgeChange(1, scope, value, -i)));
    }
    return entries;
  }

  private static List<LogMessage> oneOfEach() {
    List<ChangeEntry> entries = new ArrayList<>(purges(5, 3, "org/é/\uD83D\uDE00"));
    entries.add(entry(8, new ConfigurationChange(2, "{\n}")));
    return List.of(new LeaseEnvelope(new Request(EPOCH, 3)), new LeaseEnvelope(new Promise(EPOCH, 4)),
        new LeaseEnvelope(new Denial(5)), new LeaseEnvelope(new Release(EPOCH)), new LogRequest(EPOCH),
        new LogReply(EPOCH, EPOCH, 9, true, Epoch.NONE, 4, entries),
        new Append(EPOCH, EPOCH, 9, false, 3, 4, 8, entries), new Accepted(EPOCH, -1, true, false, 8, 4),
        new EpochRejected(EPOCH), new Fetch(EPOCH, 1, 2, 3), new CommittedEntries(EPOCH, entries),
        new SnapshotPart(EPOCH, 8, 2, 1, 3, entries, new TreeMap<>(Map.of("a", 1L, "b", 2L))),
        new Rejoin(Long.MIN_VALUE), new RejoinAnswer(3, Epoch.NONE, false, EPOCH));
  }

  @Test
  void eachMessageIsReadAsItWasWritten() throws MalformedLogMessageException {
    for (LogMessage message : oneOfEach()) {
      assertEquals(message, CODEC.read(CODEC.write(message)));
    }
  }

  @Property(tries = 300, seed = "17")
  void entriesAreReadAsTheyWereWritten(@ForAll @Size(max = 20) List<PurgeScope> scopes,
      @ForAll @LongRange(min = 0, max = 1L << 52) long commit, @ForAll long number,
      @ForAll String text) throws MalformedLogMessageException {
    String value = TextLimits.utf8Length(text) < 1
        || TextLimits.utf8Length(text) > PurgeChange.MAX_VALUE_BYTES ? "k" : text;
    List<ChangeEntry> entries = new ArrayList<>();
    for (PurgeScope scope : scopes) {
      entries.add(entry(commit + 1 + entries.size(), new PurgeChange(1, scope, value, number)));
    }
    LogReply message = new LogReply(EPOCH, EPOCH, number, true, EPOCH, commit, entries);
    assertEquals(message, CODEC.read(CODEC.write(message)));
  }

  private static void assertRejected(byte[] bytes, String description) {
    assertThrows(MalformedLogMessageException.class, () -> CODEC.read(bytes), description);
  }

  @Test
  void truncatedExtendedAndForeignMessagesAreRejected() {
    for (LogMessage message : oneOfEach()) {
      byte[] bytes = CODEC.write(message);
      for (int length = 0; length < bytes.length; length++) {
        assertRejected(Arrays.copyOf(bytes, length), "cut to " + length);
      }
      assertRejected(Arrays.copyOf(bytes, bytes.length + 1), "with a byte more");
      assertThrows(MalformedLogMessageException.class, () -> new ChangeCodec("south").read(bytes));
    }
  }

  /** Writes the part of a message after the name of the cluster and the version. */
  private interface Body {
    void write(JsonGenerator out) throws IOException;
  }

  private static byte[] encode(int version, Body body) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = new CBORFactory().createGenerator(bytes)) {
      out.writeStartArray();
      out.writeString("north");
      out.writeNumber(version);
      body.write(out);
      out.writeEndArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    return bytes.toByteArray();
  }

  @Test
  void onlyKnownVersionsAndKindsAreRead() throws MalformedLogMessageException {
    Body rejoin = out -> {
      out.writeNumber(12);
      out.writeNumber(5);
    };
    assertEquals(new Rejoin(5), CODEC.read(encode(1, rejoin)));
    assertRejected(encode(0, rejoin), "version 0");
    assertRejected(encode(2, rejoin), "version 2");
    assertRejected(encode(1, out -> out.writeNumber(-1)), "kind -1");
    assertRejected(encode(1, out -> out.writeNumber(14)), "kind 14");
  }

  private static void assertRead(LogMessage message) throws MalformedLogMessageException {
    assertEquals(message, CODEC.read(CODEC.write(message)));
  }

  private static void assertRejected(LogMessage message, String description) {
    assertRejected(CODEC.write(message), description);
  }

  @Test
  void textLengthLimitsAreEnforced() throws MalformedLogMessageException {
    for (int bytes : new int[] {1, PurgeChange.MAX_VALUE_BYTES - 1, PurgeChange.MAX_VALUE_BYTES}) {
      assertRead(new CommittedEntries(EPOCH, purges(1, 1, "x".repeat(bytes))));
    }
    assertThrows(IllegalArgumentException.class, () -> purges(1, 1, ""));
    assertThrows(IllegalArgumentException.class, () -> purges(1, 1, "x".repeat(1_025)));
    assertThrows(IllegalArgumentException.class, () -> purges(1, 1, "é".repeat(513)));
    assertThrows(IllegalArgumentException.class, () -> purges(1, 1, "\uD83D"));
    int most = ConfigurationChange.MAX_DOCUMENT_BYTES;
    for (int bytes : new int[] {0, most - 1, most}) {
      assertRead(
          new CommittedEntries(EPOCH, List.of(entry(1, new ConfigurationChange(1, "y".repeat(bytes))))));
    }
    assertThrows(IllegalArgumentException.class, () -> new ConfigurationChange(1, "y".repeat(most + 1)));
    assertThrows(IllegalArgumentException.class, () -> new ConfigurationChange(0, ""));
    assertThrows(IllegalArgumentException.class, () -> new ChangeId("", 1));
    assertThrows(IllegalArgumentException.class, () -> new ChangeId("o".repeat(101), 1));
    assertThrows(IllegalArgumentException.class, () -> new ChangeId("o", -1));
    assertRead(new LogRequest(new Epoch(1, "n".repeat(200), 0)));
    assertRejected(new LogRequest(new Epoch(1, "n".repeat(201), 0)), "a name of 201");
  }

  /** An encoded purge or configuration that may violate the limits. */
  private static byte[] encodedEntry(int kind, int version, int scope, String text) {
    return encode(1, out -> {
      out.writeNumber(10);
      EntryCodec.write(out, EPOCH);
      out.writeStartArray();
      out.writeStartArray();
      out.writeNumber(1);
      EntryCodec.write(out, EPOCH);
      out.writeString("o");
      out.writeNumber(1);
      out.writeNumber(kind);
      out.writeNumber(version);
      if (kind == 2) {
        out.writeNumber(scope);
      }
      out.writeString(text);
      if (kind == 2) {
        out.writeNumber(0);
      }
      out.writeEndArray();
      out.writeEndArray();
    });
  }

  @Test
  void textLengthLimitsAreEnforcedWhenDecoding() throws MalformedLogMessageException {
    assertEquals(1,
        ((CommittedEntries) CODEC.read(encodedEntry(2, 1, 0, "x".repeat(1_024)))).entries().size());
    assertRejected(encodedEntry(2, 1, 0, "x".repeat(1_025)), "a long value");
    assertRejected(encodedEntry(2, 1, 0, ""), "no value");
    assertRejected(encodedEntry(2, 0, 0, "x"), "version 0");
    assertRejected(encodedEntry(2, 1, 3, "x"), "scope 3");
    assertRejected(encodedEntry(2, 1, -1, "x"), "scope -1");
    assertRejected(encodedEntry(3, 1, 0, "x"), "kind 3");
    assertRejected(encodedEntry(1, 1, 0, "x".repeat(65_537)), "a long document");
  }

  @Test
  void numberRangesAreEnforced() throws MalformedLogMessageException {
    long most = 1L << 53;
    for (long number : new long[] {1, most - 1, most}) {
      assertRead(new LogRequest(new Epoch(number, "a", 0)));
      assertRead(new Accepted(EPOCH, 0, true, true, number, number));
    }
    assertRejected(new LogRequest(new Epoch(most + 1, "a", 0)), "an epoch");
    assertRejected(new LogRequest(new Epoch(-1, "a", 0)), "an epoch");
    assertRejected(new LogRequest(new Epoch(0, "a", 0)), "nobody's epoch with a name");
    assertRejected(new LogRequest(new Epoch(1, "", 0)), "an epoch without a name");
    assertRejected(new Accepted(EPOCH, 0, true, true, most + 1, 0), "an index");
    assertRejected(new Accepted(EPOCH, 0, true, true, -1, 0), "an index");
    assertRead(new Fetch(EPOCH, 1, 1, ChangeCodec.MAX_PARTS - 1));
    assertRejected(new Fetch(EPOCH, 1, 1, ChangeCodec.MAX_PARTS), "a part");
    assertRejected(new Fetch(EPOCH, 1, 1, -1), "a part");
    assertRead(new SnapshotPart(EPOCH, 9, 9, 0, ChangeCodec.MAX_PARTS, List.of(), NO_FLOORS));
    assertRejected(new SnapshotPart(EPOCH, 9, 9, 0, ChangeCodec.MAX_PARTS + 1, List.of(), NO_FLOORS),
        "parts");
    assertRejected(new SnapshotPart(EPOCH, 9, 9, 1, 1, List.of(), NO_FLOORS), "part 1 of 1");
    assertRejected(new SnapshotPart(EPOCH, 9, 10, 0, 1, List.of(), NO_FLOORS), "complete from later");
    assertRejected(new SnapshotPart(EPOCH, 9, 0, 0, 1, purges(9, 2, "x"), NO_FLOORS), "a later entry");
  }

  @Test
  void listLimitsAndOrderAreEnforced() throws MalformedLogMessageException {
    for (int count : new int[] {0, EntryCodec.MAX_ENTRIES - 1, EntryCodec.MAX_ENTRIES}) {
      assertRead(new CommittedEntries(EPOCH, purges(1, count, "x")));
    }
    assertRejected(new CommittedEntries(EPOCH, purges(1, EntryCodec.MAX_ENTRIES + 1, "x")), "many entries");
    List<ChangeEntry> gap = new ArrayList<>(purges(1, 2, "x"));
    gap.addAll(purges(4, 1, "x"));
    assertRejected(new CommittedEntries(EPOCH, gap), "a gap");
    assertRejected(new LogReply(EPOCH, EPOCH, 1, true, EPOCH, 3, purges(5, 1, "x")), "a tail further on");
    Collections.reverse(gap);
    assertRejected(new SnapshotPart(EPOCH, 9, 0, 0, 1, gap, NO_FLOORS), "out of order");
    SortedMap<String, Long> droppedNumbers = new TreeMap<>();
    for (int i = 0; i < ChangeCodec.MAX_SUBMITTERS; i++) {
      droppedNumbers.put("o" + i, (long) i);
    }
    assertRead(new SnapshotPart(EPOCH, 9, 0, 0, 1, List.of(), droppedNumbers));
    droppedNumbers.put("one more", 1L);
    assertRejected(new SnapshotPart(EPOCH, 9, 0, 0, 1, List.of(), droppedNumbers), "many submitters");
  }

  /** The longest messages that the limits of a log allow are encoded; longer ones are not parsed. */
  @Test
  void theLongestMessagesFit() throws MalformedLogMessageException {
    String longest = "v".repeat(PurgeChange.MAX_VALUE_BYTES);
    List<ChangeEntry> entries = Batches.first(purges(1, 2_000, longest),
        new LogLimits(1_024, 512 << 10, 0, 0, 0, 0, 0, 1));
    SortedMap<String, Long> droppedNumbers = new TreeMap<>();
    for (int i = 0; i < ChangeCodec.MAX_SUBMITTERS; i++) {
      droppedNumbers.put(String.valueOf(10_000 + i).repeat(20), Long.MAX_VALUE);
    }
    byte[] bytes = CODEC.write(new SnapshotPart(EPOCH, 9_000, 0, 0, 1, entries, droppedNumbers));
    assertTrue(bytes.length > 500_000 && bytes.length <= ChangeCodec.MAX_BYTES, "bytes: " + bytes.length);
    CODEC.read(bytes);
    assertRejected(new byte[ChangeCodec.MAX_BYTES], "zeros of the maximum length");
    assertRejected(new byte[ChangeCodec.MAX_BYTES + 1], "too long");
    assertThrows(IllegalArgumentException.class,
        () -> CODEC.write(new CommittedEntries(EPOCH, purges(1, 1_024, longest))));
  }

  @Test
  void anEntryTakesNoMoreBytesThanItsWeight() {
    int empty = CODEC.write(new CommittedEntries(EPOCH, List.of())).length;
    Change shortest = new PurgeChange(1_000_000, PurgeScope.KEY, "v", -1L << 60);
    Change longer = new PurgeChange(1, PurgeScope.TENANT, "é".repeat(500), Long.MAX_VALUE);
    for (ChangeEntry entry : List.of(entry(1L << 53, shortest), entry(1L << 53, longer))) {
      int bytes = CODEC.write(new CommittedEntries(EPOCH, List.of(entry))).length - empty;
      assertTrue(bytes <= entry.approximateBytes(), bytes + " bytes, weight " + entry.approximateBytes());
    }
  }

  /** Decoding malformed bytes throws no exception other than MalformedLogMessageException. */
  @Test
  void twoHundredThousandMutatedMessagesAreDecodedOrRejected() {
    Random random = new Random(17);
    List<byte[]> encoded = oneOfEach().stream().map(CODEC::write).toList();
    int rejected = 0;
    for (int i = 0; i < 200_000; i++) {
      byte[] mutated = encoded.get(i % encoded.size()).clone();
      if (i % 5 == 0) {
        mutated = new byte[random.nextInt(600)];
        random.nextBytes(mutated);
      }
      for (int changes = random.nextInt(4); changes >= 0 && mutated.length > 0; changes--) {
        mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
      }
      try {
        LogMessage read = CODEC
            .read(Arrays.copyOf(mutated, mutated.length - random.nextInt(2) * (mutated.length / 3)));
        byte[] again = CODEC.write(read);
        assertArrayEquals(again, CODEC.write(CODEC.read(again)));
      } catch (MalformedLogMessageException e) {
        rejected++;
      }
    }
    assertTrue(rejected > 100_000, "refused: " + rejected);
    System.out.println("refused: " + rejected);
  }
}
