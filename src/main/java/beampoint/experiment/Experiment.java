package beampoint.experiment;

import beampoint.Balancer;
import beampoint.Balancer.Settings;
import beampoint.emulator.Emulation;
import beampoint.emulator.Report;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

/**
 * Runs all variants of a plan on the same seeds, several runs at a time. Results are written in order as soon
 * as runs end, so that an experiment that is interrupted or has a failing variant keeps its results so far.
 */
public final class Experiment {

  private final Plan plan;
  private final Function<Settings, Balancer> factory;
  private final int threads;
  private final double runTimeoutSeconds;

  /**
   * Creates an experiment.
   *
   * @param threads how many runs are done at a time
   * @param runTimeoutSeconds a run that takes longer is abandoned, and the experiment ends
   */
  public Experiment(Plan plan, Function<Settings, Balancer> factory, int threads, double runTimeoutSeconds) {
    this.plan = plan;
    this.factory = factory;
    this.threads = threads;
    this.runTimeoutSeconds = runTimeoutSeconds;
  }

  /** Runs the plan, and writes runs.csv, summary.md and a chart for each figure into a directory. */
  public Results run(Path directory) throws IOException {
    Files.createDirectories(directory);
    Results results = new Results(plan);
    ExecutorService pool = Executors.newFixedThreadPool(threads, task -> {
      Thread thread = new Thread(task, "run");
      thread.setDaemon(true); // a run that hangs must not keep the program from ending
      return thread;
    });
    try (RunTable table = new RunTable(directory.resolve("runs.csv"), plan)) {
      runAll(results, table, pool, directory);
    } finally {
      pool.shutdownNow();
    }
    Summary.write(plan, results, directory);
    if (results.completedSeeds() > 1) {
      Charts.write(plan, results, directory);
    }
    return results;
  }

  private void runAll(Results results, RunTable table, ExecutorService pool, Path directory)
      throws IOException {
    List<List<Future<Report>>> runs = new ArrayList<>();
    for (int repeat = 0; repeat < plan.repeats(); repeat++) {
      long seed = plan.firstSeed() + repeat;
      List<Future<Report>> runsOfSeed = new ArrayList<>();
      for (Plan.Variant variant : plan.variants()) {
        runsOfSeed.add(pool.submit(() -> Emulation.run(variant.scenario().withSeed(seed), factory)));
      }
      runs.add(runsOfSeed);
    }
    for (int repeat = 0; repeat < plan.repeats(); repeat++) {
      long seed = plan.firstSeed() + repeat;
      for (int i = 0; i < plan.variants().size(); i++) {
        Plan.Variant variant = plan.variants().get(i);
        Report report = await(runs.get(repeat).get(i), variant.name() + ", seed " + seed, results);
        if (report == null) {
          return;
        }
        results.add(variant, report);
        table.add(variant, seed, report);
      }
      Summary.write(plan, results, directory);
    }
  }

  private Report await(Future<Report> run, String name, Results results) {
    try {
      return run.get((long) (runTimeoutSeconds * 1000), TimeUnit.MILLISECONDS);
    } catch (ExecutionException e) {
      results.fail(name + ": failed: " + e.getCause());
    } catch (TimeoutException e) {
      results.fail(name + ": not ended after " + runTimeoutSeconds + " s");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      results.fail(name + ": interrupted");
    }
    return null;
  }
}
