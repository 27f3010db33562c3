package beampoint.cli;

import beampoint.policy.BalancerPolicy;
import beampoint.log.Log;
import beampoint.serve.Config;
import beampoint.serve.Proxy;
import beampoint.settings.InputException;
import beampoint.sim.Drill;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line. */
@Command(name = "beampoint", mixinStandardHelpOptions = true, version = "beampoint 0.1.0",
    description = "Spreads keys over cache servers before a slow origin.",
    subcommands = {Main.DrillCommand.class, Main.ServeCommand.class, EmulateCommand.class,
        ExperimentCommand.class})
public final class Main implements Runnable {

  @Spec
  private CommandSpec spec;

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "Missing command");
  }

  /**
   * Guards against a start that is spent on the command line's model, which is a third of it, where the one
   * word leaves nothing to read.
   */
  public static void main(String[] args) {
    int code = args.length == 1 && args[0].equals("serve") ? new ServeCommand().call()
        : new CommandLine(new Main()).execute(args);
    if (code != ServeCommand.SERVING) {
      System.exit(code);
    }
  }

  /** Hosts instances of the decision module on the bench's wire. */
  @Command(name = "drill", mixinStandardHelpOptions = true,
      description = "Decides for simulated balancers: batches on standard input, replies on standard output.")
  static final class DrillCommand implements Callable<Integer> {

    private static final Log LOG = Log.of("drill");

    @Override
    public Integer call() {
      try {
        new Drill(System.in, System.out, BalancerPolicy::new).run();
        return 0;
      } catch (InputException e) {
        LOG.error("bad input: " + e.getMessage());
      } catch (IOException e) {
        LOG.error("input or output broke: " + e.getMessage());
      }
      return 1;
    }
  }

  /** Runs one real proxy until it is told to end. */
  @Command(name = "serve", mixinStandardHelpOptions = true,
      description = "Runs one proxy on sockets, as its configuration file says, until SIGTERM.")
  static final class ServeCommand implements Callable<Integer> {

    static final int SERVING = -1;
    private static final long LOOK_MS = 250;
    private static final Log LOG = Log.of("serve");

    @Option(names = "--config", paramLabel = "FILE",
        description = "The configuration; $PROXY_CONFIG if not given.")
    private Path config;

    @Override
    public Integer call() {
      String told = System.getenv("PROXY_CONFIG");
      if (config == null && told != null) {
        config = Path.of(told);
      }
      if (config == null) {
        LOG.error("no configuration: give --config FILE or set PROXY_CONFIG");
        return 2;
      }
      Log.captureLibraryLogs();
      try {
        FileChanges changes = new FileChanges(config); // before it is read: no change is missed
        Proxy proxy = new Proxy(Config.read(config), BalancerPolicy::new);
        if (!Hangup.handle(() -> reload(proxy))) {
          LOG.warn("SIGHUP is ignored since before the start: " + config + " is read again when it changes");
          Thread watch = new Thread(() -> follow(proxy, changes), "configuration");
          watch.setDaemon(true);
          watch.start();
        }
        return start(proxy);
      } catch (InputException e) {
        LOG.error("bad configuration: " + e.getMessage());
        return 2;
      }
    }

    /** In place of a signal that never comes; a file that was read half written is read again when whole. */
    private void follow(Proxy proxy, FileChanges changes) {
      try {
        while (true) {
          Thread.sleep(LOOK_MS);
          if (changes.changed()) {
            reload(proxy);
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /** Reads the file again, once at a time; one that can't be used leaves all as it was. */
    private synchronized void reload(Proxy proxy) {
      try {
        proxy.reload(Config.read(config));
      } catch (InputException | RuntimeException e) {
        proxy.reloadFailed(e.getMessage());
      }
    }

    private static int start(Proxy proxy) {
      // Set before clients can come: a SIGTERM just after that must be obeyed in order too.
      Thread end = new Thread(() -> end(proxy), "end");
      Runtime.getRuntime().addShutdownHook(end);
      try {
        proxy.startWithWarmUp();
        return SERVING;
      } catch (IOException e) {
        Runtime.getRuntime().removeShutdownHook(end);
        LOG.error("can't serve: " + e.getMessage());
        return 2;
      }
    }

    private static void end(Proxy proxy) {
      try {
        proxy.drain();
      } catch (InterruptedException e) {
        LOG.error("the end was cut short", e);
      }
      Runtime.getRuntime().halt(0); // after a SIGTERM the machine's own code would not be 0
    }
  }
}
