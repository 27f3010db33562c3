package beampoint.log;

import java.io.PrintStream;
import java.time.Instant;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;

/** Writes log lines to standard error: time, level, component, text, and the stack trace of the cause. */
public final class Log {

  private static final long REPEAT_INTERVAL_NANOS = 1_000_000_000L;

  private final String component;
  private String lastText; // of the last line written, its time, and how often it was suppressed since
  private long lastAt;
  private int repeats;

  private Log(String component) {
    this.component = component;
  }

  /** A logger for one component of the program. */
  public static Log of(String component) {
    return new Log(component);
  }

  public void info(String text) {
    write("INFO ", text, null);
  }

  public void warn(String text) {
    write("WARN ", text, null);
  }

  public void error(String text) {
    write("ERROR", text, null);
  }

  public void error(String text, Throwable cause) {
    write("ERROR", text, cause);
  }

  /** Writes one line at a time, so that the lines of two threads do not mix. */
  private void write(String level, String text, Throwable cause) {
    synchronized (Log.class) {
      long now = System.nanoTime();
      // The same line is written at most once a second, so that it can't flood the log under load.
      if (cause == null && text.equals(lastText) && now - lastAt < REPEAT_INTERVAL_NANOS) {
        repeats++;
        return;
      }
      if (repeats > 0) {
        print("INFO ", "the previous line was repeated " + repeats + " times", null);
      }
      lastText = text;
      lastAt = now;
      repeats = 0;
      print(level, text, cause);
    }
  }

  /** Line breaks in the text become spaces, so that no text can add a line. */
  private void print(String level, String text, Throwable cause) {
    PrintStream out = System.err;
    out.println(Instant.now() + " " + level + " " + component + ": " + text.replaceAll("\\v+", " "));
    if (cause != null) {
      cause.printStackTrace(out);
    }
  }

  /**
   * An empty configuration class. java.util.logging creates an instance of it instead of reading its default
   * configuration, which {@link #captureLibraryLogs()} would discard anyway.
   */
  public static final class NoConfiguration {}

  /** Writes the warnings of libraries that use java.util.logging as lines of this log. */
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
        log.write(record.getLevel().intValue() >= Level.SEVERE.intValue() ? "ERROR" : "WARN ", text,
            record.getThrown());
      }

      @Override
      public void flush() {
        // nothing is buffered
      }

      @Override
      public void close() {
        // standard error stays open
      }
    });
  }
}
