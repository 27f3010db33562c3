package beampoint.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** A day of a fleet of real processes on loopback, beside the same model as in virtual time. */
public final class Loopback {

  /** Where a hundredth of its own tasks is later than this, in ms, a run tells nothing of the proxies. */
  public static final double MAX_LATENESS_MS = 20;
  private static final double MAX_START_MS = 30_000;

  private Loopback() {}

  /** What came of a run; no report where it is void, and why. */
  public record Outcome(Report report, double lateness, String failureReason) {}

  /**
   * Plays a day with proxies that are started by this command, with {@code serve --config FILE} behind it.
   * What they need and log goes to a directory. None of them outlives the run.
   */
  public static Outcome run(Scenario scenario, List<String> command, Path directory) throws IOException {
    try (ProcessFleet fleet = new ProcessFleet(scenario, command, directory)) {
      Thread end = new Thread(() -> close(fleet), "end");
      Runtime.getRuntime().addShutdownHook(end); // an interruption leaves no process either
      Report report = fleet.play(MAX_START_MS);
      Runtime.getRuntime().removeShutdownHook(end);
      double lateness = fleet.lateness();
      if (report == null) {
        return new Outcome(null, lateness, "a proxy did not get ready; its log is in " + directory);
      }
      if (lateness > MAX_LATENESS_MS) {
        return new Outcome(null, lateness, "the load maker itself was late: " + lateness
            + " ms for a hundredth of its tasks, " + MAX_LATENESS_MS + " at most");
      }
      return new Outcome(report, lateness, null);
    }
  }

  private static void close(ProcessFleet fleet) {
    try {
      fleet.close();
    } catch (IOException e) {
      // it ends anyway
    }
  }
}
