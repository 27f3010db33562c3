package beampoint.fleet.message;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.message.Message.Kind;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Encoding and decoding of messages, including malformed input. */
class CodecTest {

  private static final Codec CODEC = new Codec("north");
  private static final MemberState SELF =
      new MemberState("n1", "10.0.0.1:7946", Status.ALIVE, 3, false, "n1");

  private static Message message(int updates) {
    return new Message(Kind.RELAY, 1L << 40, SELF, "n2", IntStream.range(0, updates)
        .mapToObj(i -> new MemberState("n" + i, "10.0.0.9:7946", Status.SUSPECT, i, i % 2 == 0, "n3"))
        .toList());
  }

  @Test
  void aDecodedMessageEqualsTheEncodedOne() throws MalformedMessageException {
    for (int updates : new int[] {0, 1, 10}) {
      byte[] bytes = CODEC.write(message(updates));
      assertEquals(message(updates), CODEC.read(bytes, bytes.length));
    }
  }

  @Test
  void updatesThatDoNotFitADatagramAreOmitted() throws MalformedMessageException {
    Message tooLong = new Message(Kind.GOSSIP, 0, SELF, "", IntStream.range(0, 30)
        .mapToObj(i -> new MemberState("x".repeat(150) + i, "10.0.0.9:7946", Status.ALIVE, i, false, "n3"))
        .toList());
    byte[] bytes = CODEC.write(tooLong);
    assertTrue(bytes.length <= Codec.MAX_DATAGRAM_BYTES);
    List<MemberState> read = CODEC.read(bytes, bytes.length).updates();
    assertTrue(!read.isEmpty() && read.size() < 30);
    assertEquals(tooLong.updates().subList(0, read.size()), read);
  }

  @Test
  void otherClustersOtherVersionsAndTruncatedOrExtendedMessagesAreRejected() {
    byte[] bytes = CODEC.write(message(2));
    assertThrows(MalformedMessageException.class, () -> new Codec("south").read(bytes, bytes.length));
    for (int length = 0; length < bytes.length; length++) {
      int cut = length;
      assertThrows(MalformedMessageException.class, () -> CODEC.read(bytes, cut), "cut to " + cut);
    }
    byte[] next = bytes.clone();
    next[7] = 2; // the version, after the start of the array and the cluster name
    assertThrows(MalformedMessageException.class, () -> CODEC.read(next, next.length));
    byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
    assertThrows(MalformedMessageException.class, () -> CODEC.read(longer, longer.length));
    assertThrows(MalformedMessageException.class, () -> CODEC.read(new byte[2_000], 2_000));
  }

  /**
   * Whatever bytes a datagram contains, decoding throws no exception other than MalformedMessageException.
   */
  @Test
  void aHundredThousandMutatedDatagramsAreDecodedOrRejected() {
    Random random = new Random(11);
    byte[] whole = CODEC.write(message(6));
    int rejected = 0;
    for (int i = 0; i < 100_000; i++) {
      byte[] bytes = whole.clone();
      if (i % 3 == 0) {
        bytes = new byte[random.nextInt(Codec.MAX_DATAGRAM_BYTES)];
        random.nextBytes(bytes);
      }
      for (int changes = random.nextInt(4); changes >= 0 && bytes.length > 0; changes--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try {
        Message read = CODEC.read(bytes, random.nextInt(bytes.length + 1));
        byte[] again = CODEC.write(read);
        assertEquals(read, CODEC.read(again, again.length));
      } catch (MalformedMessageException e) {
        rejected++;
      }
    }
    assertTrue(rejected > 90_000, "rejected: " + rejected);
  }

  private static List<MemberState> view(int members, int nameLength) {
    return IntStream.range(0, members).mapToObj(i -> {
      String name = "n".repeat(nameLength - 4) + (1_000 + i);
      return new MemberState(name, "1".repeat(94) + ":65535", Status.SUSPECT, Long.MAX_VALUE, true, name);
    }).toList();
  }

  /** If the planned fleet exceeded a limit on views, its members could not exchange views at all. */
  @Test
  void aViewOfTheLargestFleetWithTheLongestNamesIsDecodedAndALargerOneIsRejected()
      throws MalformedMessageException {
    for (int members : new int[] {2_300, Codec.MAX_VIEW_MEMBERS - 1, Codec.MAX_VIEW_MEMBERS}) {
      List<MemberState> view = view(members, 100);
      byte[] bytes = CODEC.writeView(view);
      assertTrue(bytes.length <= Codec.MAX_VIEW_BYTES, "bytes: " + bytes.length);
      assertEquals(view, CODEC.readView(bytes));
    }
    byte[] oneMore = CODEC.writeView(view(Codec.MAX_VIEW_MEMBERS + 1, 20));
    assertThrows(MalformedMessageException.class, () -> CODEC.readView(oneMore));
  }

  /** A view above the maximum length would be rejected by every member. */
  @Test
  void membersThatDoNotFitAViewAreOmitted() throws MalformedMessageException {
    List<MemberState> view = view(Codec.MAX_VIEW_MEMBERS, 190);
    byte[] bytes = CODEC.writeView(view);
    assertTrue(bytes.length <= Codec.MAX_VIEW_BYTES, "bytes: " + bytes.length);
    List<MemberState> read = CODEC.readView(bytes);
    assertTrue(read.size() > Codec.MAX_VIEW_MEMBERS / 2, "members: " + read.size());
    assertEquals(view.subList(0, read.size()), read);
  }
}
