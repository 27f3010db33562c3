package beampoint.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;

/** Log lines on standard error: time, level, part of the program, text, and the cause's trace. */
public final class Log {

  private static final long REPEAT_NANOS = 1_000_000_000L;

  private final String part;
  private String last; // the text written last, when, and how often it came again since
  private long lastAt;
  private int repeats;

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

  /** Lines are written whole, lest those of two threads mix, and no text can add one. */
  private void line(String level, String text, Throwable cause) {
    synchronized (Log.class) {
      long now = System.nanoTime();
      // Guards against a log that fills with one line under load: in a second it is written once.
      if (cause == null && text.equals(last) && now - lastAt < REPEAT_NANOS) {
        repeats++;
        return;
      }
      if (repeats > 0) {
        print("INFO ", "the line before came " + repeats + " more times", null);
      }
      last = text;
      lastAt = now;
      repeats = 0;
      print(level, text, cause);
    }
  }

  private void print(String level, String text, Throwable cause) {
    PrintStream out = System.err;
    out.println(Instant.now() + " " + level + " " + part + ": " + text.replaceAll("\\v+", " "));
    if (cause != null) {
      cause.printStackTrace(out);
    }
  }

  /**
   * Made by the platform in place of its own configuration of logs. Guards against a start that reads one and
   * drops it again.
   */
  public static final class NoConfiguration {}

  /** Writes the warnings of libraries, which log by java.util.logging, as lines of this log. */
  public static void captureLibraryLogs() {
    Log log = of("library");
    System.setProperty("java.util.logging.config.class", NoConfiguration.class.getName());
    LogManager.getLogManager().reset();
    java.util.logging.Logger root = LogManager.getLogManager().getLogger("");
    root.setLevel(Level.WARNING);
    root.addHandler(new Handler() {
      @Override
      public void publish(LogRecord record) {
        String text = record.getLoggerName() + ": " + record.getMessage();
        log.line(record.getLevel().intValue() >= Level.SEVERE.intValue() ? "ERROR" : "WARN ", text,
            record.getThrown());
      }

      @Override
      public void flush() {
        // nothing is held back
      }

      @Override
      public void close() {
        // standard error stays open
      }
    });
  }
}
