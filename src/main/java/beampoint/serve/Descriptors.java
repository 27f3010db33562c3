package beampoint.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The limit on the number of open file descriptors of this process. */
final class Descriptors {

  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final Pattern SOFT_LIMIT = Pattern.compile("(?m)^Max open files +(\\d{1,9}) ");

  private Descriptors() {}

  /**
   * Returns the smaller of a configured number and the limit in force. A proxy whose configured number
   * exceeds the limit would accept clients until no descriptor is left for discovery and cache nodes.
   */
  static int atMost(int configured) {
    try {
      return atMost(configured, Files.readString(LIMITS));
    } catch (IOException e) {
      return configured; // the system has no such file
    }
  }

  static int atMost(int configured, String limits) {
    Matcher matcher = SOFT_LIMIT.matcher(limits);
    return matcher.find() ? Math.min(configured, Integer.parseInt(matcher.group(1))) : configured;
  }
}
