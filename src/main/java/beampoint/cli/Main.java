package beampoint.cli;

import beampoint.Logic;
import beampoint.sim.Drill;
import beampoint.sim.WireException;
import java.io.IOException;
import java.util.concurrent.Callable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line. */
@Command(name = "beampoint", mixinStandardHelpOptions = true, version = "beampoint 0.1.0",
    description = "Spreads keys over cache servers before a slow origin.",
    subcommands = Main.DrillCommand.class)
public final class Main implements Runnable {

  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "Missing command");
  }

  public static void main(String[] args) {
    System.exit(new CommandLine(new Main()).execute(args));
  }

  /** Hosts instances of the decision module on the bench's wire. */
  @Command(name = "drill", mixinStandardHelpOptions = true,
      description = "Decides for simulated balancers: batches on standard input, replies on standard output.")
  static final class DrillCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(DrillCommand.class);

    @Override
    public Integer call() {
      try {
        new Drill(System.in, System.out, Logic::new).run();
        return 0;
      } catch (WireException e) {
        LOG.error("bad input: {}", e.getMessage());
      } catch (IOException e) {
        LOG.error("input or output broke: {}", e.getMessage());
      }
      return 1;
    }
  }
}
