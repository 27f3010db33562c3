package beampoint.serve;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** How many file descriptors the system lets this process have. */
final class Descriptors {

  private static final Path LIMITS = Path.of("/proc/self/limits");
  private static final Pattern SOFT = Pattern.compile("(?m)^Max open files +(\\d{1,9}) ");

  private Descriptors() {}

  /**
   * The smaller of a stated number and the limit in force. Guards against a proxy that is told of more than
   * it has: it would accept until nothing is left, for discovery and cache nodes either.
   */
  static int atMost(int stated) {
    try {
      return atMost(stated, Files.readString(LIMITS));
    } catch (IOException e) {
      return stated; // a system that does not tell
    }
  }

  static int atMost(int stated, String limits) {
    Matcher matcher = SOFT.matcher(limits);
    return matcher.find() ? Math.min(stated, Integer.parseInt(matcher.group(1))) : stated;
  }
}
