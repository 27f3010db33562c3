package beampoint.log;

import java.io.PrintStream;
import java.time.Instant;

/** Log lines on standard error: time, level, part of the program, text, and the cause's trace. */
public final class Log {

  private final String part;

  private Log(String part) {
    this.part = part;
  }

  /** A logger for one part of the program. */
  public static Log of(String part) {
    return new Log(part);
  }

  public void info(String text) {
    line("INFO ", text, null);
  }

  public void warn(String text) {
    line("WARN ", text, null);
  }

  public void error(String text) {
    line("ERROR", text, null);
  }

  public void error(String text, Throwable cause) {
    line("ERROR", text, cause);
  }

  /** A line and its trace are written at once, lest those of two threads mix; no text can add a line. */
  private void line(String level, String text, Throwable cause) {
    PrintStream out = System.err;
    synchronized (Log.class) {
      out.println(Instant.now() + " " + level + " " + part + ": " + text.replaceAll("\\v+", " "));
      if (cause != null) {
        cause.printStackTrace(out);
      }
    }
  }
}
