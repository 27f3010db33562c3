package beampoint.fleet.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.Change;
import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ChangeId;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.changes.PurgeChange;
import beampoint.fleet.changes.PurgeScope;
import beampoint.fleet.distribution.DistributionMessage.Batch;
import beampoint.fleet.distribution.DistributionMessage.Fetch;
import beampoint.fleet.distribution.DistributionMessage.Refusal;
import beampoint.fleet.distribution.DistributionMessage.Report;
import beampoint.fleet.distribution.DistributionMessage.SnapshotReply;
import beampoint.fleet.distribution.DistributionMessage.Unsubscribe;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Encoded messages are decoded to equal ones, and malformed bytes are rejected. */
class DistributionCodecTest {

  private static final DistributionCodec CODEC = new DistributionCodec("north");
  private static final Epoch EPOCH = new Epoch(3, "control-1", 77);
  private static final long LOG = 1_764_000_000L;

  private static ChangeEntry entry(long index, Change change) {
    return new ChangeEntry(index, index < 3 ? EPOCH : new Epoch(4, "control-2", 78),
        new ChangeId("c" + index / 2, index), change);
  }

  private static List<ChangeEntry> entries() {
    return List.of(entry(1, new PurgeChange(1, PurgeScope.KEY, "7f3a9c21e0b4d655", 1_764_000_000_123L)),
        entry(2, new PurgeChange(1, PurgeScope.PREFIX, "org/example/", 1_764_000_000_023L)),
        entry(3, new PurgeChange(2, PurgeScope.TENANT, "b\u00e4r", 0)),
        entry(4, new ConfigurationChange(1, "{}")),
        entry(5, new ConfigurationChange(1, "{\"attempts\": 3}".repeat(100))));
  }

  private static List<DistributionMessage> messages() {
    return List.of(
        new Report(LOG, 7, 9, 1_000, List.of(new MemberProgress("p1", 5, 1_000, 0),
            new MemberProgress("p2", 1L << 60, 900, 12))),
        new Report(LOG, 7, 9, 0, List.of()),
        new Batch(LOG, 1L << 60, 20, 5, 5, List.of(9L, 11L), entries()),
        new Batch(LOG, 0, 0, 0, 0, List.of(), List.of()),
        new Fetch(LOG, 88),
        new SnapshotReply(LOG, ConfigurationSnapshot.EMPTY),
        new SnapshotReply(LOG, new ConfigurationSnapshot(9, EPOCH, entries().get(4))),
        new Refusal(LOG, 3),
        new Unsubscribe(LOG, 4));
  }

  @Test
  void aDecodedMessageEqualsTheEncodedOne() throws MalformedMessageException {
    for (DistributionMessage message : messages()) {
      byte[] bytes = CODEC.write(message);
      assertEquals(message, CODEC.read(bytes, bytes.length));
    }
  }

  @Test
  void messagesOfAnotherClusterOrVersionAndTruncatedOnesAreRejected() {
    for (DistributionMessage message : messages()) {
      byte[] bytes = CODEC.write(message);
      DistributionCodec other = new DistributionCodec("south");
      assertThrows(MalformedMessageException.class, () -> other.read(bytes, bytes.length));
      for (int length = 0; length < bytes.length; length++) {
        int cut = length;
        assertThrows(MalformedMessageException.class, () -> CODEC.read(bytes, cut), "cut to " + cut);
      }
      byte[] next = bytes.clone();
      next[7] = 2; // the version, after the start of the array and the name
      assertThrows(MalformedMessageException.class, () -> CODEC.read(next, next.length));
      byte[] longer = Arrays.copyOf(bytes, bytes.length + 1);
      assertThrows(MalformedMessageException.class, () -> CODEC.read(longer, longer.length));
    }
    int tooLong = DistributionCodec.MAX_BYTES + 1;
    assertThrows(MalformedMessageException.class, () -> CODEC.read(new byte[tooLong], tooLong));
  }

  /** Randomly changed bytes cause no exception other than a MalformedMessageException. */
  @Test
  void aHundredThousandMutatedMessagesAreDecodedOrRejected() {
    Random random = new Random(11);
    List<byte[]> valid = messages().stream().map(CODEC::write).toList();
    int rejected = 0;
    for (int i = 0; i < 100_000; i++) {
      byte[] mutated = valid.get(i % valid.size()).clone();
      for (int changes = random.nextInt(4); changes >= 0; changes--) {
        mutated[random.nextInt(mutated.length)] = (byte) random.nextInt(256);
      }
      try {
        DistributionMessage read = CODEC.read(mutated,
            random.nextInt(10) == 0 ? mutated.length / 2 : mutated.length);
        byte[] again = CODEC.write(read);
        assertEquals(read, CODEC.read(again, again.length));
      } catch (MalformedMessageException e) {
        rejected++;
      }
    }
    assertTrue(rejected > 50_000 && rejected < 100_000, "rejected: " + rejected);
  }

  /** The size of a purge determines how many children a proxy can serve: docs/fleet/distribution.md. */
  @Test
  void aBatchOfPurgesIsSmall() {
    Random random = new Random(3);
    List<ChangeEntry> purges = new ArrayList<>();
    for (int i = 0; i < 6; i++) {
      String key = String.format("%016x", random.nextLong());
      purges.add(new ChangeEntry(5_000_000 + i, EPOCH, new ChangeId("control-" + i % 2, 2_500_000 + i),
          new PurgeChange(1, PurgeScope.KEY, key, 1_764_000_000_000L + 37 * i)));
    }
    int heartbeat = CODEC.write(new Batch(LOG, 1_764_000_000_000L << 20, 50, 5_000_005, 5_000_005,
        List.of(1_000L), List.of())).length;
    int batch = CODEC.write(new Batch(LOG, 1_764_000_000_000L << 20, 50, 5_000_005, 5_000_005,
        List.of(1_000L), purges)).length;
    assertTrue(heartbeat <= 40 && batch - heartbeat <= 6 * 24, "heartbeat " + heartbeat + ", batch " + batch);
  }
}
