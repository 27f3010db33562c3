package beampoint.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import beampoint.TestProcess;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Processes are counted by locks that end with them. */
class ProcessRegistryTest {

  /** A separate process that registers, prints its count, and waits to be killed. */
  static final class RegisteredProcess {
    public static void main(String[] args) throws Exception {
      try (ProcessRegistry registry = new ProcessRegistry(Path.of(args[0]))) {
        System.out.println(registry.count());
        Thread.sleep(60_000);
      }
    }
  }

  private static Process startRegistered(Path file) throws IOException {
    return TestProcess.java(RegisteredProcess.class, List.of(), file.toString()).redirectErrorStream(false)
        .redirectError(ProcessBuilder.Redirect.INHERIT).start();
  }

  @Test
  void processIsCountedUntilItEndsHoweverItEnds(@TempDir Path directory) throws Exception {
    Path file = directory.resolve("processes");
    try (ProcessRegistry own = new ProcessRegistry(file)) {
      assertEquals(1, own.count());
      Process other = startRegistered(file);
      assertEquals("2", other.inputReader().readLine(), "each counts the other");
      assertEquals(2, own.count());
      other.destroyForcibly().waitFor();
      assertEquals(1, own.count(), "a killed process is not counted any more");
    }
  }

  /** Guards against a count that misses processes, up to the limit, which must not be too low. */
  @Test
  void maximumNumberOfProcessesIsCountedAndOneMoreIsRefused(@TempDir Path directory)
      throws Exception {
    Path file = directory.resolve("processes");
    List<ProcessRegistry> all = new ArrayList<>();
    try {
      for (int i = 1; i <= ProcessRegistry.MAX_PROCESSES; i++) {
        all.add(new ProcessRegistry(file));
        if (i < 10 || i > ProcessRegistry.MAX_PROCESSES - 2) {
          assertEquals(i, all.get(0).count());
          assertEquals(i, all.get(i - 1).count());
        }
      }
      assertThrows(IOException.class, () -> new ProcessRegistry(file));
      all.remove(511).close();
      assertEquals(ProcessRegistry.MAX_PROCESSES - 1, all.get(0).count());
      all.add(new ProcessRegistry(file));
      assertEquals(ProcessRegistry.MAX_PROCESSES, all.get(600).count(), "a free slot is used again");
    } finally {
      for (ProcessRegistry registry : all) {
        registry.close();
      }
    }
  }
}
