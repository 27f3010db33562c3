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

/** Bans of two processes of one proxy, by the file that they share. */
class BanFileTest {

  @TempDir
  private Path directory;
  private Path path;

  @BeforeEach
  void name() {
    path = directory.resolve("bans.json");
  }

  private BanFile open() {
    return new BanFile(path, "n0");
  }

  private static BanFile with(BanFile file, String node, boolean out, double at) throws IOException {
    assertTrue(file.setBanned(node, out, at));
    file.store();
    return file;
  }

  @Test
  void aBanOutlivesItsProcess() throws IOException {
    with(open(), "a", true, 10);
    BanFile next = open();
    assertEquals(List.of(new Ban("a", 10, Double.POSITIVE_INFINITY)), next.refresh());
    assertTrue(next.get("a").isOut());
  }

  @Test
  void theCallOutMayComeTwiceAndOneCallBackUndoesBoth() throws IOException {
    BanFile file = with(with(open(), "a", true, 10), "a", true, 20);
    with(file, "a", false, 30);
    assertEquals(List.of(new Ban("a", 10, 30)), open().refresh());
    with(file, "b", false, 40);
    assertNull(file.get("b"), "a call back of what was never out leaves nothing");
  }

  @Test
  void eachProcessTakesOverWhatTheOtherHasStoredAndOnce() throws IOException {
    BanFile old = open();
    BanFile next = open();
    with(old, "a", true, 10);
    assertEquals(1, next.refresh().size());
    assertEquals(List.of(), next.refresh());
    with(next, "a", false, 20);
    with(next, "b", true, 21);
    assertEquals(2, old.refresh().size());
    assertFalse(old.get("a").isOut());
    assertTrue(old.get("b").isOut());
  }

  /** Guards against a process that overwrites what the other has stored since it last looked. */
  @Test
  void whatTheOtherHasStoredMeanwhileIsKeptWhenStoring() throws IOException {
    BanFile old = open();
    BanFile next = open();
    with(old, "a", true, 10);
    with(next, "b", true, 11);
    assertEquals(2, open().refresh().size());
    assertTrue(next.get("a").isOut(), "storing takes over what it finds");
  }

  @Test
  void aFileThatIsSpoiltForeignOrOfAnotherVersionCostsNoBanAndIsReplaced() throws IOException {
    for (String text : List.of("", "{", "null", "[]", "{\"version\":1}",
        "{\"version\":1,\"proxy\":\"n1\",\"bans\":[]}",
        "{\"version\":2,\"proxy\":\"n0\",\"bans\":[]}", "{\"version\":1,\"proxy\":\"n0\",\"bans\":[{}]}")) {
      BanFile file = open();
      file.setBanned("a", true, 10);
      Files.writeString(path, text);
      assertEquals(List.of(), file.refresh(), text);
      assertTrue(file.get("a").isOut(), text);
      file.store();
      assertEquals(1, open().refresh().size(), text);
    }
  }

  /** Every way in which a file can be cut off: nothing of it is taken, nothing fails. */
  @Test
  void aTruncatedFileIsLeftOut() throws IOException {
    with(open(), "a", true, 10);
    String whole = Files.readString(path);
    for (int length = 0; length < whole.length(); length++) {
      Files.writeString(path, whole.substring(0, length));
      assertEquals(List.of(), open().refresh(), whole.substring(0, length));
    }
  }

  @Test
  void aFileThatCanNotBeWrittenIsToldAndTheBanHoldsHere() {
    BanFile file = new BanFile(directory.resolve("none/bans.json"), "n0");
    file.setBanned("a", true, 10);
    assertThrows(IOException.class, file::store);
    assertEquals(List.of(), file.refresh());
    assertTrue(file.get("a").isOut());
  }

  @Test
  void bansAreBoundedAndThoseLongOverAreForgotten() {
    BanFile file = open();
    for (int i = 0; i < BanFile.MAX_BANS; i++) {
      assertTrue(file.setBanned("n" + i, true, i), "the ban of number " + i);
    }
    assertFalse(file.setBanned("one more", true, 5000));
    assertTrue(file.setBanned("n0", true, 5000), "one that is out already takes no room");
    assertTrue(file.setBanned("n0", false, 5000));
    assertTrue(file.setBanned("one more", true, 5000 + 3_600_000));
  }

  /** Guards against a limit under which a whole list can't be out, or be known to the next process. */
  @Test
  void asManyBansAsThereMayBeAreStoredAndKnownToTheNextProcess() throws IOException {
    for (int bans : new int[] {BanFile.MAX_BANS - 1, BanFile.MAX_BANS, BanFile.MAX_BANS + 1}) {
      BanFile file = new BanFile(directory.resolve("bans-" + bans), "n0");
      int taken = 0;
      for (int i = 0; i < bans; i++) {
        String longestOfDns = "x".repeat(253 - 5) + (10_000 + i);
        taken += file.setBanned(longestOfDns, true, 1.7646e12 + i) ? 1 : 0;
        file.setBanned(longestOfDns, false, 1.7647e12 + i);
      }
      assertEquals(Math.min(bans, BanFile.MAX_BANS), taken);
      file.store();
      assertEquals(taken, new BanFile(directory.resolve("bans-" + bans), "n0").refresh().size());
    }
  }

  /** A file that is longer would be left out by the next process, and cost all the bans in it. */
  @Test
  void aFileIsWrittenUpToTheLengthUpToWhichItIsRead() throws IOException {
    BanFile one = with(open(), "a", true, 10);
    int rest = (int) Files.size(path) - 1; // beside the name
    assertEquals(1, one.bans().size());
    for (int length : new int[] {BanFile.MAX_FILE_BYTES - 1, BanFile.MAX_FILE_BYTES}) {
      Files.delete(path);
      with(open(), "a".repeat(length - rest), true, 10);
      assertEquals(length, Files.size(path));
      assertEquals(1, open().refresh().size());
    }
    BanFile tooLong = open();
    assertTrue(tooLong.setBanned("a".repeat(BanFile.MAX_FILE_BYTES + 1 - rest), true, 10));
    assertThrows(IOException.class, tooLong::store);
    assertEquals(1, open().refresh().size(), "what was stored before stands");
  }
}
