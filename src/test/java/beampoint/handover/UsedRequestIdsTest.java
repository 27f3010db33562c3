package beampoint.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** An id is claimed once, by whichever process of a proxy, until it is released or has expired. */
class UsedRequestIdsTest {

  private final AtomicLong now = new AtomicLong(-5);
  @TempDir
  private Path directory;
  private Path file;

  @BeforeEach
  void setUp() {
    file = directory.resolve("ids");
  }

  private UsedRequestIds process() {
    return new UsedRequestIds(file, now::get);
  }

  @Test
  void anIdIsClaimedOnceByAllProcessesTogether() {
    try (UsedRequestIds first = process(); UsedRequestIds second = process()) {
      assertTrue(first.claim("a"));
      assertFalse(first.claim("a"));
      assertFalse(second.claim("a"));
      assertTrue(second.claim("b"));
      assertFalse(first.claim("b"));
    }
    try (UsedRequestIds restarted = process()) {
      assertFalse(restarted.claim("a"));
    }
  }

  @Test
  void anIdWhoseRequestHasNotRunMayComeAgain() {
    try (UsedRequestIds first = process(); UsedRequestIds second = process()) {
      assertTrue(first.claim("a"));
      second.release("a");
      assertFalse(second.claim("a"), "a process releases its own claims only");
      first.release("a");
      assertTrue(second.claim("a"));
      assertFalse(first.claim("a"));
    }
  }

  @Test
  void claimsExpire() {
    try (UsedRequestIds first = process(); UsedRequestIds second = process()) {
      assertTrue(first.claim("a"));
      now.addAndGet(UsedRequestIds.RETENTION_NANOS - 1);
      assertFalse(first.claim("a"));
      assertFalse(second.claim("a"));
      now.addAndGet(2);
      assertTrue(second.claim("a"));
    }
  }

  @Test
  void manyIdsAreBoundedAndTheNewestAreKept() throws IOException {
    int count = 3 * UsedRequestIds.MAX_IDS;
    try (UsedRequestIds first = process(); UsedRequestIds second = process()) {
      for (int i = 0; i < count; i++) {
        now.incrementAndGet();
        assertTrue(first.claim("id" + i));
      }
      for (int i = count - 100; i < count; i++) {
        assertFalse(second.claim("id" + i), "id" + i);
      }
      assertTrue(Files.size(file) <= 16L * UsedRequestIds.MAX_IDS);
    }
  }

  /** Guards against requests that are failed because a file is damaged, and against a start that fails. */
  @Test
  void aDamagedOrUnusableFileClaimsNothing() throws IOException {
    Files.write(file, "x".repeat(100_001).getBytes());
    try (UsedRequestIds ids = process()) {
      assertTrue(ids.claim("a"));
      assertFalse(ids.claim("a"));
    }
    file = directory.resolve("missing").resolve("ids");
    try (UsedRequestIds ids = process()) {
      assertTrue(ids.claim("a"));
      assertFalse(ids.claim("a"));
      ids.release("a");
      assertTrue(ids.claim("a"));
    }
  }
}
