package beampoint.cli;

import beampoint.policy.BalancerPolicy;
import beampoint.log.Log;
import beampoint.serve.Config;
import beampoint.serve.Proxy;
import beampoint.settings.InputException;
import beampoint.sim.SimulatorHost;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The command line interface. */
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
   * Runs the command line. A bare {@code serve} skips picocli: building its model of the command line takes a
   * third of the start time, and there is nothing to parse.
   */
  public static void main(String[] args) {
    int code = args.length == 1 && args[0].equals("serve") ? new ServeCommand().call()
        : new CommandLine(new Main()).execute(args);
    if (code != ServeCommand.SERVING) {
      System.exit(code);
    }
  }

  /** Runs instances of the decision module for a simulator, which sends events on standard input. */
  @Command(name = "drill", mixinStandardHelpOptions = true,
      description = "Decides for simulated balancers: batches on standard input, replies on standard output.")
  static final class DrillCommand implements Callable<Integer> {

    private static final Log LOG = Log.of("drill");

    @Override
    public Integer call() {
      try {
        new SimulatorHost(System.in, System.out, BalancerPolicy::new).run();
        return 0;
      } catch (InputException e) {
        LOG.error("invalid input: " + e.getMessage());
      } catch (IOException e) {
        LOG.error("input or output failed: " + e.getMessage());
      }
      return 1;
    }
  }

  /** Runs one proxy until it receives a SIGTERM. */
  @Command(name = "serve", mixinStandardHelpOptions = true,
      description = "Runs one proxy on sockets, as its configuration file says, until SIGTERM.")
  static final class ServeCommand implements Callable<Integer> {

    static final int SERVING = -1; // not an exit code: the proxy has started and the process goes on
    private static final long CHECK_INTERVAL_MS = 250;
    private static final Log LOG = Log.of("serve");

    @Option(names = "--config", paramLabel = "FILE",
        description = "The configuration; $PROXY_CONFIG if not given.")
    private Path config;

    @Override
    public Integer call() {
      String path = System.getenv("PROXY_CONFIG");
      if (config == null && path != null) {
        config = Path.of(path);
      }
      if (config == null) {
        LOG.error("no configuration: give --config FILE or set PROXY_CONFIG");
        return 2;
      }
      Log.captureLibraryLogs();
      try {
        FileChanges changes = new FileChanges(config); // taken before the file is read, to miss no change
        Proxy proxy = new Proxy(Config.read(config), BalancerPolicy::new);
        if (!SighupHandler.install(() -> reload(proxy))) {
          LOG.warn("SIGHUP is ignored, as at the start of the process: " + config
              + " is read again when it changes");
          Thread watcher = new Thread(() -> reloadOnChange(proxy, changes), "configuration");
          watcher.setDaemon(true);
          watcher.start();
        }
        return start(proxy);
      } catch (InputException e) {
        LOG.error("invalid configuration: " + e.getMessage());
        return 2;
      }
    }

    /**
     * Polls the configuration file; used if SIGHUP is ignored, so that it can't request a reload. A file that
     * was read while it was being written is read again after the rest has been written.
     */
    private void reloadOnChange(Proxy proxy, FileChanges changes) {
      try {
        while (true) {
          Thread.sleep(CHECK_INTERVAL_MS);
          if (changes.changed()) {
            reload(proxy);
          }
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    /** Reads the file again, one call at a time. A file that can't be used changes nothing. */
    private synchronized void reload(Proxy proxy) {
      try {
        proxy.reload(Config.read(config));
      } catch (InputException | RuntimeException e) {
        proxy.reloadFailed(e.getMessage());
      }
    }

    private static int start(Proxy proxy) {
      // Registered before clients can connect, so that an early SIGTERM leads to a graceful shutdown too.
      Thread hook = new Thread(() -> shutDownGracefully(proxy), "end");
      Runtime.getRuntime().addShutdownHook(hook);
      try {
        proxy.startWithWarmUp();
        return SERVING;
      } catch (IOException e) {
        Runtime.getRuntime().removeShutdownHook(hook);
        LOG.error("can't start to serve: " + e.getMessage());
        return 2;
      }
    }

    private static void shutDownGracefully(Proxy proxy) {
      try {
        proxy.shutDownGracefully();
      } catch (InterruptedException e) {
        LOG.error("the shutdown was interrupted", e);
      }
      Runtime.getRuntime().halt(0); // the JVM's own exit code after a SIGTERM would not be 0
    }
  }
}
