package beampoint.cli;

import beampoint.Logic;
import beampoint.emulator.Emulation;
import beampoint.emulator.Report;
import beampoint.emulator.Scenario;
import beampoint.log.Log;
import beampoint.settings.InputException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Plays a day of a fleet round the decision module in virtual time, and tells what was counted. */
@Command(name = "emulate", mixinStandardHelpOptions = true,
    description = "Plays a scenario in virtual time; figures as name=value lines on standard output.",
    footer = "Exit code 2: the scenario can't be used; 3: a rule was broken, which is told first.")
final class EmulateCommand implements Callable<Integer> {

  static final int RULE_BROKEN = 3;
  private static final Log LOG = Log.of("emulate");

  @Spec
  private CommandSpec spec;

  @Option(names = "--scenario", paramLabel = "FILE", required = true, description = "The day, as YAML.")
  private Path scenario;

  @Option(names = "--seed", paramLabel = "N", description = "A seed in place of the scenario's.")
  private Long seed;

  @Override
  public Integer call() {
    Report report;
    try {
      Scenario day = Scenario.read(scenario);
      report = Emulation.run(seed == null ? day : day.withSeed(seed), Logic::new);
    } catch (InputException e) {
      LOG.error("bad scenario: " + e.getMessage());
      return 2;
    }
    PrintWriter out = spec.commandLine().getOut();
    report.broken().forEach(rule -> out.println("rule_broken=" + rule));
    report.figures().forEach((name, figure) -> out.println(name + "=" + figure));
    out.flush();
    return report.breaks() > 0 ? RULE_BROKEN : 0;
  }
}
