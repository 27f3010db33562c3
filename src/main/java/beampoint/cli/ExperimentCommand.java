package beampoint.cli;

import beampoint.policy.BalancerPolicy;
import beampoint.experiment.Experiment;
import beampoint.experiment.Plan;
import beampoint.experiment.Results;
import beampoint.log.Log;
import beampoint.settings.InputException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares variants of a scenario that run with the same seeds. */
@Command(name = "experiment", mixinStandardHelpOptions = true,
    description = "Plays variants of a scenario in pairs; runs.csv, summary.md and charts go to a directory.",
    footer = "Exit code 2: the plan can't be used; 3: a rule was broken; 4: only a part was played.")
final class ExperimentCommand implements Callable<Integer> {

  static final int PARTIAL = 4;
  private static final Log LOG = Log.of("experiment");

  @Spec
  private CommandSpec spec;

  @Option(names = "--plan", paramLabel = "FILE", required = true, description = "What to compare, as YAML.")
  private Path planFile;

  @Option(names = "--out", paramLabel = "DIR", required = true, description = "Where results go.")
  private Path out;

  @Option(names = "--threads", paramLabel = "N", defaultValue = "1", description = "Runs at a time.")
  private int threads;

  @Option(names = "--longest", paramLabel = "SECONDS", defaultValue = "600",
      description = "After which a run is given up.")
  private double maxSeconds;

  @Override
  public Integer call() {
    Plan plan;
    try {
      plan = Plan.read(planFile);
    } catch (InputException e) {
      LOG.error("invalid plan: " + e.getMessage());
      return 2;
    }
    try {
      Results results = new Experiment(plan, BalancerPolicy::new, Math.max(1, threads), maxSeconds).run(out);
      spec.commandLine().getOut().println(Files.readString(out.resolve("summary.md")));
      return results.brokenRuleCount() > 0 ? EmulateCommand.RULE_BROKEN : results.isPartial() ? PARTIAL : 0;
    } catch (IOException e) {
      LOG.error("can't write results, those already written are kept: " + e);
      return PARTIAL;
    }
  }
}
