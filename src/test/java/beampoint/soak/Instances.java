package beampoint.soak;

import beampoint.soak.Checks.Kill;
import beampoint.soak.Violation.Check;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** The instances of a run: starts, signals and stops their processes, and checks the rules for processes. */
final class Instances implements AutoCloseable {

  static final int MAX_ATTEMPTS = 3;
  private static final int SIGTERM_EXIT_CODE = 143;
  private static final List<String> ZERO_COUNTERS =
      List.of("answers_overdue", "invariants_broken", "logic_exceptions");

  private final SoakPlan plan;
  private final double deadlineMs;
  private final DiscoveryPeer discovery;
  private final Path directory;
  private final RunContext context;
  private final RunClock clock;
  private final StallTrace pauses = new StallTrace();
  private final List<Kill> kills = new ArrayList<>();
  private final List<Instance> instances = new ArrayList<>();
  private final List<ServeProcess> processes = new ArrayList<>();

  Instances(SoakPlan plan, DiscoveryPeer discovery, Path directory, RunContext context) throws IOException {
    this.plan = plan;
    this.deadlineMs = plan.deadlineMs();
    this.discovery = discovery;
    this.directory = directory;
    this.context = context;
    this.clock = context.clock();
    for (int i = 0; i < plan.processes(); i++) {
      instances.add(new Instance("n" + i, plan.upgrades()));
    }
  }

  List<Instance> all() {
    return instances;
  }

  /** When the harness paused processes with SIGSTOP. */
  StallTrace pauses() {
    return pauses;
  }

  List<Kill> kills() {
    return kills;
  }

  // ---- Starts ---------------------------------------------------------------------------------------------

  /** Starts another process at an instance's client address. */
  ServeProcess start(Instance instance, int opsPort) throws IOException {
    Path config = configure(instance, opsPort, MAX_ATTEMPTS);
    Path log = directory.resolve(instance.name + "-" + processes.size() + ".log");
    ServeProcess process = ServeProcess.start(SoakConfig.command(), config, log, directory, clock);
    processes.add(process);
    return process;
  }

  private Path configure(Instance instance, int opsPort, int attempts) throws IOException {
    Path config = directory.resolve(instance.name + ".json");
    Path next = directory.resolve(instance.name + ".next");
    Files.writeString(next,
        SoakConfig.json(instance.name, instance.clientPort(), opsPort, discovery.address(),
            discovery.initialList(), plan, attempts));
    return Files.move(next, config, StandardCopyOption.REPLACE_EXISTING);
  }

  /** Starts a process for each instance; false if one of them does not become ready. */
  boolean startAll() throws IOException {
    context.terminating().set(false);
    for (Instance instance : instances) {
      instance.setProcess(start(instance, instance.opsPort()));
    }
    boolean ready = true;
    for (Instance instance : instances) {
      ServeProcess process = instance.process();
      ready &= checkReady(process, process.awaitReady(instance.clientPort(), Bounds.MAX_START_MS),
          Bounds.MAX_START_MS);
    }
    return ready;
  }

  /** Records a violation if a start took longer than {@code maxMs}; false if the process is not ready. */
  boolean checkReady(ServeProcess process, double startupMs, double maxMs) {
    boolean isReady = !Double.isNaN(startupMs);
    if (!isReady || startupMs > maxMs || context.injects(Check.READY)) {
      double excessMs = isReady && startupMs > maxMs ? startupMs - maxMs : Double.POSITIVE_INFINITY;
      context.violations().add(new Violation(Check.READY, process.startedAt(), clock.now(), excessMs,
          process.name(), isReady ? "ready after " + Math.round(startupMs) + " ms" : "not ready"));
    }
    return isReady;
  }

  // ---- Signals --------------------------------------------------------------------------------------------

  void signal(ServeProcess process, String name) {
    if (name.equals("TERM")) {
      context.terminating().set(true);
    }
    try {
      process.signal(name);
    } catch (IOException e) {
      throw new IllegalStateException("failed to send a signal: " + e.getMessage(), e);
    }
  }

  void signalAll(String name) {
    instances.forEach(instance -> signal(instance.process(), name));
  }

  /** Makes each process reload its configuration (SIGHUP), with another limit of attempts. */
  void reloadAll(int attempts) throws IOException {
    for (Instance instance : instances) {
      configure(instance, instance.opsPort(), attempts);
      signal(instance.process(), "HUP");
    }
  }

  /** Pauses all processes for a time, with SIGSTOP and SIGCONT. */
  void pauseAll(double ms) {
    double from = clock.now();
    signalAll("STOP");
    RunClock.sleep(ms);
    signalAll("CONT");
    pauses.addPause("all", from, clock.now());
  }

  // ---- Ends -----------------------------------------------------------------------------------------------

  void awaitAllExits(double sigtermAt) throws IOException {
    for (Instance instance : instances) {
      awaitExit(instance.process(), sigtermAt, false);
    }
  }

  /**
   * Waits for the exit after a SIGTERM and checks it. A process that still runs at the earliest time for
   * SIGKILL gets one. {@code mayExitBySignal} allows the exit code of a JVM that SIGTERM ends before the
   * proxy's code handles the signal.
   */
  void awaitExit(ServeProcess process, double sigtermAt, boolean mayExitBySignal) throws IOException {
    if (context.injects(Check.EXIT)) {
      signal(process, "KILL");
    }
    double timeoutMs = Math.min(deadlineMs, Bounds.MAX_DEADLINE_MS) + Bounds.SIGKILL_DELAY_MS;
    boolean killed = !process.awaitExit(sigtermAt + timeoutMs);
    if (killed) {
      kill(process, sigtermAt);
    } else if (process.exitCode() != 0 && !(mayExitBySignal && process.exitCode() == SIGTERM_EXIT_CODE)) {
      context.violations().add(new Violation(Check.EXIT, clock.now(), process.name(),
          "exit code " + process.exitCode()));
    }
    checkResources(process);
    checkCounters(process, killed);
  }

  private void kill(ServeProcess process, double sigtermAt) throws IOException {
    Kill kill = new Kill(sigtermAt, clock.now());
    kills.add(kill);
    if (instances.size() == 1) {
      // With several processes it is not known which of them got a request. Forwarded requests are checked
      // at the end of the run in any case.
      reportOpenRequests(kill);
    }
    signal(process, "KILL");
    process.awaitExit(clock.now() + Bounds.MAX_START_MS);
  }

  /** Records a violation for each request that was sent before a SIGKILL and has no answer. */
  private void reportOpenRequests(Kill kill) {
    for (Request request : context.requests().all()) {
      boolean open = request.sentAt() < kill.sigkillAt() && request.answers() == 0
          && !request.hasClientClosed() && Double.isNaN(request.connectionEndedAt());
      if (open) {
        context.violations().add(Checks.lostBySigkill(request, kill));
      }
    }
  }

  /** Records a violation for each process that has exited without a SIGTERM or SIGKILL from the harness. */
  void checkAlive() {
    for (Instance instance : instances) {
      ServeProcess process = instance.process();
      if (process.exitedUnexpectedly()) {
        context.violations().add(new Violation(Check.EXIT, clock.now(), instance.name,
            "ended by itself, exit code " + process.exitCode()));
      }
    }
  }

  private void checkResources(ServeProcess process) {
    int descriptors = process.maxDescriptors();
    if (descriptors > (context.injects(Check.DESCRIPTORS) ? 1 : SoakConfig.MAX_DESCRIPTORS)) {
      context.violations()
          .add(new Violation(Check.DESCRIPTORS, clock.now(), process.name(), descriptors + " open"));
    }
    double memory = process.maxMemoryMb();
    if (memory > (context.injects(Check.MEMORY) ? 1 : SoakConfig.MAX_MEMORY_MB)) {
      context.violations()
          .add(new Violation(Check.MEMORY, clock.now(), process.name(), Math.round(memory) + " MB"));
    }
  }

  private void checkCounters(ServeProcess process, boolean killed) throws IOException {
    Map<String, Long> counters = process.counters();
    if (counters.isEmpty()) {
      if (!killed && process.exitCode() == 0) {
        context.violations().add(new Violation(Check.COUNTERS, clock.now(), process.name(),
            "no counters in its last log line"));
      }
      return;
    }
    for (String counter : ZERO_COUNTERS) {
      long value = counters.get(counter) + (context.injects(Check.COUNTERS) ? 1 : 0);
      if (value != 0) {
        context.violations()
            .add(new Violation(Check.COUNTERS, clock.now(), process.name(), counter + "=" + value));
      }
    }
    long taken = counters.get("requests_taken") - counters.get("requests_gone");
    long answered = counters.get("answered_served") + counters.get("answered_refused")
        + counters.get("answered_failed");
    if (taken != answered) {
      context.violations().add(new Violation(Check.NOT_LOST, clock.now(), process.name(),
          taken + " requests taken whose clients stayed, " + answered + " answered"));
    }
  }

  /** Kills all processes that still run and frees the ports. */
  @Override
  public void close() throws IOException {
    processes.forEach(ServeProcess::destroy);
    for (ServeProcess process : processes) {
      process.awaitExit(clock.now() + Bounds.MAX_START_MS);
    }
    for (Instance instance : instances) {
      instance.close();
    }
  }
}
