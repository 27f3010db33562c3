package beampoint.emulator;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;

/** Runs a scenario with real proxy processes on loopback and the same model of caches, origin and clients. */
public final class Loopback {

  /**
   * A run is void if the 99th percentile of the delay of the emulator's own tasks in ms exceeds this, because
   * its figures then do not describe the proxies.
   */
  public static final double MAX_LATENESS_MS = 20;
  private static final double MAX_START_MS = 30_000;

  private Loopback() {}

  /** The result of a run; if it is void, the report is null and {@code failureReason} is set. */
  public record Outcome(Report report, double lateness, String failureReason) {}

  /**
   * Runs a scenario with proxies that are started by this command, followed by {@code serve --config FILE}.
   * Their configurations and logs are written to a directory. No proxy process outlives the run.
   */
  public static Outcome run(Scenario scenario, List<String> command, Path directory) throws IOException {
    try (ProcessFleet fleet = new ProcessFleet(scenario, command, directory)) {
      Thread end = new Thread(() -> close(fleet), "end");
      Runtime.getRuntime().addShutdownHook(end); // ends the processes of an interrupted run
      Report report = fleet.run(MAX_START_MS);
      Runtime.getRuntime().removeShutdownHook(end);
      double lateness = fleet.lateness();
      if (report == null) {
        return new Outcome(null, lateness, "a proxy did not get ready; its log is in " + directory);
      }
      if (lateness > MAX_LATENESS_MS) {
        return new Outcome(null, lateness, "the load generator was late: 99th percentile of its lateness "
            + lateness + " ms, limit " + MAX_LATENESS_MS + " ms");
      }
      return new Outcome(report, lateness, null);
    }
  }

  private static void close(ProcessFleet fleet) {
    try {
      fleet.close();
    } catch (IOException e) {
      // the program is ending
    }
  }
}
