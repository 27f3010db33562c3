package beampoint.soak;

import beampoint.emulator.ReservedPort;
import beampoint.soak.SoakPlan.Series;
import java.io.IOException;
import java.util.SplittableRandom;

/** Sends the signals of one run to its processes and waits until all of them have exited. */
final class SignalSeries {

  private static final int SERIES_LENGTH = 20;
  private static final int SHORT_PAUSES = 4;
  private static final double LONG_PAUSE_MS = 500;
  private static final double AFTER_UPGRADE_MS = 700;

  private final Series series;
  private final Instances instances;
  private final RunClock clock;
  private final SplittableRandom random;

  SignalSeries(Series series, Instances instances, RunClock clock, SplittableRandom random) {
    this.series = series;
    this.instances = instances;
    this.clock = clock;
    this.random = random;
  }

  /** Sends SIGTERM to a process during its start, if the series has that; it exits and is never ready. */
  void terminateDuringStart() throws IOException {
    if (series != Series.TERM_DURING_START) {
      return;
    }
    Instance instance = instances.all().get(0);
    ServeProcess process = instances.start(instance, instance.opsPort());
    RunClock.sleep(50 + random.nextInt(700));
    boolean hasLogged = process.hasLogged();
    instances.signal(process, "TERM");
    instances.awaitExit(process, clock.now(), !hasLogged);
  }

  void play() throws IOException {
    switch (series) {
      case HANGUP_BEFORE_TERM, TERM_DURING_RELOAD -> {
        instances.reloadAll(Instances.MAX_ATTEMPTS - 1);
        RunClock.sleep(series == Series.HANGUP_BEFORE_TERM ? 300 : random.nextInt(20));
        terminateAll(1);
      }
      case HANGUP_BESIDE_TERM, HANGUP_AFTER_TERM -> {
        instances.signalAll("TERM");
        double sigtermAt = clock.now();
        RunClock.sleep(series == Series.HANGUP_AFTER_TERM ? 200 : 0);
        instances.reloadAll(Instances.MAX_ATTEMPTS - 1);
        instances.awaitAllExits(sigtermAt);
      }
      case HANGUPS_IN_SERIES -> {
        for (int i = 0; i < SERIES_LENGTH; i++) {
          instances.reloadAll(1 + i % Instances.MAX_ATTEMPTS);
          RunClock.sleep(20 + random.nextInt(40));
        }
        terminateAll(1);
      }
      case TERM_HELD_UP_SHORTLY -> terminateWhilePaused(SHORT_PAUSES, Bounds.MAX_PAUSE_MS);
      case TERM_HELD_UP_LONG -> terminateWhilePaused(1, LONG_PAUSE_MS);
      case TERM_TWICE -> terminateAll(2);
      case TERM_IN_SERIES -> terminateAll(SERIES_LENGTH);
      case UPGRADE, TERM_DURING_UPGRADE -> upgrade(instances.all().get(0));
      default -> terminateAll(1);
    }
    instances.checkAlive();
  }

  /** Sends SIGTERM to all processes {@code times} times and waits for their exits. */
  void terminateAll(int times) throws IOException {
    double sigtermAt = clock.now();
    for (int i = 0; i < times; i++) {
      instances.signalAll("TERM");
      RunClock.sleep(times > 1 ? random.nextInt(40) : 0);
    }
    instances.awaitAllExits(sigtermAt);
  }

  /** Pauses all processes several times, before and after a SIGTERM. */
  private void terminateWhilePaused(int pauses, double pauseMs) throws IOException {
    int sigtermBefore = random.nextInt(pauses + 1);
    double sigtermAt = 0;
    for (int i = 0; i <= pauses; i++) {
      if (i == sigtermBefore) {
        instances.signalAll("TERM");
        sigtermAt = clock.now();
      }
      if (i < pauses) {
        RunClock.sleep(random.nextInt(200));
        instances.pauseAll(pauseMs);
      }
    }
    instances.awaitAllExits(sigtermAt + pauseMs - Bounds.MAX_PAUSE_MS);
  }

  /** Starts a second process at the same address that takes over; the first one gets one or two SIGTERMs. */
  private void upgrade(Instance instance) throws IOException {
    ServeProcess old = instance.process();
    ReservedPort opsPort = new ReservedPort();
    ServeProcess next = instances.start(instance, opsPort.number());
    if (series == Series.TERM_DURING_UPGRADE) {
      RunClock.sleep(random.nextInt(1000));
      instances.signal(old, "TERM");
    }
    double startupMs = next.awaitAcceptsClients(opsPort.number(), Bounds.MAX_START_MS);
    instances.checkReady(next, startupMs, Bounds.MAX_UPGRADE_START_MS);
    double sigtermAt = clock.now();
    instances.signal(old, "TERM");
    instances.signal(next, "HUP");
    instances.awaitExit(old, sigtermAt, false);
    instance.replaceProcess(next, opsPort);
    RunClock.sleep(AFTER_UPGRADE_MS);
    sigtermAt = clock.now();
    instances.signal(next, "TERM");
    instances.awaitExit(next, sigtermAt, false);
  }
}
