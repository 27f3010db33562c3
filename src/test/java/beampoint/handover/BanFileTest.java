package beampoint.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The ban file that the processes of one proxy share. */
class BanFileTest {

  @TempDir
  private Path directory;
  private Path path;

  @BeforeEach
  void choosePath() {
    path = directory.resolve("bans.json");
  }

  private BanFile open() {
    return new BanFile(path, "n0");
  }

  private static BanFile setAndStore(BanFile file, String node, boolean out, double at) throws IOException {
    assertTrue(file.setBanned(node, out, at));
    file.store();
    return file;
  }

  @Test
  void banOutlivesItsProcess() throws IOException {
    setAndStore(open(), "a", true, 10);
    BanFile next = open();
    assertEquals(List.of(new Ban("a", 10, Double.POSITIVE_INFINITY)), next.refresh());
    assertTrue(next.get("a").isActive());
  }

  @Test
  void repeatedBanIsLiftedByOneCall() throws IOException {
    BanFile file = setAndStore(setAndStore(open(), "a", true, 10), "a", true, 20);
    setAndStore(file, "a", false, 30);
    assertEquals(List.of(new Ban("a", 10, 30)), open().refresh());
    setAndStore(file, "b", false, 40);
    assertNull(file.get("b"), "lifting a ban that was never set leaves no entry");
  }

  @Test
  void eachProcessMergesWhatTheOtherStoredOnce() throws IOException {
    BanFile old = open();
    BanFile next = open();
    setAndStore(old, "a", true, 10);
    assertEquals(1, next.refresh().size());
    assertEquals(List.of(), next.refresh());
    setAndStore(next, "a", false, 20);
    setAndStore(next, "b", true, 21);
    assertEquals(2, old.refresh().size());
    assertFalse(old.get("a").isActive());
    assertTrue(old.get("b").isActive());
  }

  /** Guards against a process that overwrites what the other stored since its last refresh. */
  @Test
  void storingMergesWhatTheOtherStoredMeanwhile() throws IOException {
    BanFile old = open();
    BanFile next = open();
    setAndStore(old, "a", true, 10);
    setAndStore(next, "b", true, 11);
    assertEquals(2, open().refresh().size());
    assertTrue(next.get("a").isActive(), "storing merges what is in the file");
  }

  @Test
  void corruptForeignOrOtherVersionFileLosesNoBanAndIsReplaced() throws IOException {
    for (String text : List.of("", "{", "null", "[]", "{\"version\":1}",
        "{\"version\":1,\"proxy\":\"n1\",\"bans\":[]}",
        "{\"version\":2,\"proxy\":\"n0\",\"bans\":[]}", "{\"version\":1,\"proxy\":\"n0\",\"bans\":[{}]}")) {
      BanFile file = open();
      file.setBanned("a", true, 10);
      Files.writeString(path, text);
      assertEquals(List.of(), file.refresh(), text);
      assertTrue(file.get("a").isActive(), text);
      file.store();
      assertEquals(1, open().refresh().size(), text);
    }
  }

  /** A file truncated at any length: nothing of it is used, and nothing fails. */
  @Test
  void truncatedFileIsIgnored() throws IOException {
    setAndStore(open(), "a", true, 10);
    String whole = Files.readString(path);
    for (int length = 0; length < whole.length(); length++) {
      Files.writeString(path, whole.substring(0, length));
      assertEquals(List.of(), open().refresh(), whole.substring(0, length));
    }
  }

  @Test
  void unwritableFileIsReportedAndTheBanStaysInMemory() {
    BanFile file = new BanFile(directory.resolve("none/bans.json"), "n0");
    file.setBanned("a", true, 10);
    assertThrows(IOException.class, file::store);
    assertEquals(List.of(), file.refresh());
    assertTrue(file.get("a").isActive());
  }

  @Test
  void bansAreLimitedAndLongLiftedOnesAreRemoved() {
    BanFile file = open();
    for (int i = 0; i < BanFile.MAX_BANS; i++) {
      assertTrue(file.setBanned("n" + i, true, i), "the ban of number " + i);
    }
    assertFalse(file.setBanned("one more", true, 5000));
    assertTrue(file.setBanned("n0", true, 5000), "a node that is out already needs no further entry");
    assertTrue(file.setBanned("n0", false, 5000));
    assertTrue(file.setBanned("one more", true, 5000 + 3_600_000));
  }

  /**
   * Guards against limits that keep a full host list from being banned, or from being read by the next
   * process.
   */
  @Test
  void maximumNumberOfBansIsStoredAndReadByTheNextProcess() throws IOException {
    for (int bans : new int[] {BanFile.MAX_BANS - 1, BanFile.MAX_BANS, BanFile.MAX_BANS + 1}) {
      BanFile file = new BanFile(directory.resolve("bans-" + bans), "n0");
      int taken = 0;
      for (int i = 0; i < bans; i++) {
        String longestDnsName = "x".repeat(253 - 5) + (10_000 + i);
        taken += file.setBanned(longestDnsName, true, 1.7646e12 + i) ? 1 : 0;
        file.setBanned(longestDnsName, false, 1.7647e12 + i);
      }
      assertEquals(Math.min(bans, BanFile.MAX_BANS), taken);
      file.store();
      assertEquals(taken, new BanFile(directory.resolve("bans-" + bans), "n0").refresh().size());
    }
  }

  /** A longer file would be ignored by the next process, which would lose all bans in it. */
  @Test
  void longestReadableFileIsWrittenAndLongerOnesAreNot() throws IOException {
    BanFile one = setAndStore(open(), "a", true, 10);
    int overhead = (int) Files.size(path) - 1; // beside the name
    assertEquals(1, one.bans().size());
    for (int length : new int[] {BanFile.MAX_FILE_BYTES - 1, BanFile.MAX_FILE_BYTES}) {
      Files.delete(path);
      setAndStore(open(), "a".repeat(length - overhead), true, 10);
      assertEquals(length, Files.size(path));
      assertEquals(1, open().refresh().size());
    }
    BanFile tooLong = open();
    assertTrue(tooLong.setBanned("a".repeat(BanFile.MAX_FILE_BYTES + 1 - overhead), true, 10));
    assertThrows(IOException.class, tooLong::store);
    assertEquals(1, open().refresh().size(), "the previous file is kept");
  }
}
