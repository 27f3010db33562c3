package beampoint.benchmark;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/**
 * The resource usage of one process, from /proc.
 *
 * @param cpuMs CPU time of all its threads, in user and system mode
 * @param residentKb current resident memory
 * @param proportionalKb the same, with shared pages divided among the processes that share them (PSS)
 * @param descriptors number of open file descriptors
 * @param threads number of threads
 */
public record ProcessAccount(double cpuMs, long residentKb, long proportionalKb, long descriptors,
    long threads) {

  private static final double MS_PER_TICK = 10; // USER_HZ is 100 on common systems
  private static final int USER_TIME = 11; // fields of /proc/PID/stat after the name in brackets
  private static final int SYSTEM_TIME = 12;

  /** Reads the resource usage of a process. */
  public static ProcessAccount of(long pid) throws IOException {
    Path directory = Path.of("/proc", Long.toString(pid));
    String status = Files.readString(directory.resolve("status"));
    long shared = field(Files.readString(directory.resolve("smaps_rollup")), "Pss:");
    try (Stream<Path> open = Files.list(directory.resolve("fd"))) {
      return new ProcessAccount(cpuMs(directory.resolve("stat")), field(status, "VmRSS:"), shared,
          open.count(), field(status, "Threads:"));
    }
  }

  /** Only the CPU time of a process, which is cheap to read. */
  public static double cpuMs(long pid) throws IOException {
    return cpuMs(Path.of("/proc", Long.toString(pid), "stat"));
  }

  private static double cpuMs(Path stat) throws IOException {
    String text = Files.readString(stat);
    String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
    return MS_PER_TICK * (Long.parseLong(fields[USER_TIME]) + Long.parseLong(fields[SYSTEM_TIME]));
  }

  private static long field(String text, String name) {
    for (String line : text.split("\n")) {
      if (line.startsWith(name)) {
        return Long.parseLong(line.substring(name.length()).trim().split(" ")[0]);
      }
    }
    throw new IllegalStateException("missing field " + name + " in /proc files of a process");
  }

  /** The contents of /proc/loadavg, with the load averages. */
  public static String machineLoad() throws IOException {
    return Files.readString(Path.of("/proc/loadavg")).trim();
  }
}
