package beampoint.cli;

import beampoint.emulator.ControlEmulation;
import beampoint.emulator.ControlReport;
import beampoint.emulator.ControlScenario;
import beampoint.emulator.Emulation;
import beampoint.emulator.Loopback;
import beampoint.emulator.Report;
import beampoint.emulator.Scenario;
import beampoint.log.Log;
import beampoint.policy.BalancerPolicy;
import beampoint.settings.InputException;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * Runs a scenario of an emulated fleet, whose proxies use the decision module, and prints the figures. It
 * runs in virtual time, or in real time with {@code --loopback}.
 */
@Command(name = "emulate", mixinStandardHelpOptions = true,
    description = "Plays a scenario in virtual time; figures as name=value lines on standard output.",
    footer = "Exit code 2: the scenario can't be used; 3: a rule was broken; 5: the run is void.")
final class EmulateCommand implements Callable<Integer> {

  static final int RULE_BROKEN = 3;
  static final int VOID = 5;
  private static final Log LOG = Log.of("emulate");

  @Spec
  private CommandSpec spec;

  @Option(names = "--scenario", paramLabel = "FILE", required = true, description = "The day, as YAML.")
  private Path scenarioFile;

  @Option(names = "--seed", paramLabel = "N", description = "A seed in place of the scenario's.")
  private Long seed;

  @Option(names = "--loopback", paramLabel = "JAR",
      description = "Plays in real time with processes of this jar.")
  private Path jar;

  @Override
  public Integer call() {
    Report report;
    try {
      if (ControlScenario.isControlScenario(scenarioFile)) {
        return runControl(ControlScenario.read(scenarioFile));
      }
      Scenario scenario = Scenario.read(scenarioFile);
      scenario = seed == null ? scenario : scenario.withSeed(seed);
      report = jar == null ? Emulation.run(scenario, BalancerPolicy::new) : runOnLoopback(scenario);
    } catch (InputException e) {
      LOG.error("invalid scenario: " + e.getMessage());
      return 2;
    } catch (IOException e) {
      LOG.error("the run is void: " + e.getMessage());
      return VOID;
    }
    print(report.brokenRules(), report.figures());
    return report.brokenRuleCount() > 0 ? RULE_BROKEN : 0;
  }

  /**
   * Runs a scenario of the model "control", which emulates the control plane of a large fleet, and no
   * requests. It runs in virtual time only.
   */
  private int runControl(ControlScenario scenario) throws InputException {
    if (jar != null) {
      throw new InputException("a scenario of model 'control' runs in virtual time only, without --loopback");
    }
    ControlReport report = ControlEmulation.run(seed == null ? scenario : scenario.withSeed(seed));
    print(report.brokenLimits(), report.figures());
    return report.brokenLimits().isEmpty() ? 0 : RULE_BROKEN;
  }

  private void print(List<String> brokenRules, Map<String, ?> figures) {
    PrintWriter out = spec.commandLine().getOut();
    brokenRules.forEach(rule -> out.println("rule_broken=" + rule));
    figures.forEach((name, figure) -> out.println(name + "=" + figure));
    out.flush();
  }

  private Report runOnLoopback(Scenario scenario) throws IOException {
    String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
    Path directory = Files.createTempDirectory("emulate");
    List<String> command = List.of(java, "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx64m",
        "-Djava.net.preferIPv4Stack=true", "-jar", jar.toAbsolutePath().toString());
    Loopback.Outcome outcome = Loopback.run(scenario, command, directory);
    if (outcome.report() == null) {
      throw new IOException(outcome.failureReason());
    }
    LOG.info("99th percentile of the lateness of the load generator's tasks: " + outcome.lateness()
        + " ms; logs: " + directory);
    return outcome.report();
  }
}
