package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.Result;
import java.util.ArrayDeque;
import java.util.Deque;

/** The origin: it has all keys, runs all effects, and stops for a while when it is sent far too much. */
final class OriginServer {

  static final String ID = "origin";

  /** A fetch or a write that came; cold: for a miss at a cold cache. */
  private record Came(double at, boolean cold) {}

  private final World world;
  private final Scenario.Origin origin;
  private final Server server;
  private final Deque<Came> window = new ArrayDeque<>();
  private int coldOnes;
  double slowness = 1;

  OriginServer(World world) {
    this.world = world;
    this.origin = world.scenario.origin();
    this.server = new Server(world.clock, origin.servers(), origin.queue());
  }

  static Endpoint endpoint() {
    return new Endpoint(ID, 0, World.ORIGIN, 0, EndpointState.RUNNING, 1, 0);
  }

  void take(Attempt attempt) {
    world.report.fetch();
    press(attempt);
    attempt.server = server;
    attempt.job = server.take(() -> attempt.ask.work * origin.work() * slowness, () -> done(attempt));
    if (attempt.job == null) {
      attempt.answer(Result.FULL);
    }
  }

  private void press(Attempt attempt) {
    double now = world.clock.now();
    boolean cold = attempt.instance.missedAt(attempt.asked).stream().anyMatch(CacheNode::isCold);
    window.add(new Came(now, cold));
    coldOnes += cold ? 1 : 0;
    while (window.peekFirst().at() < now - origin.stopWindow()) {
      coldOnes -= window.pollFirst().cold() ? 1 : 0;
    }
    double most = origin.stopMultiple() * origin.servers() * origin.stopWindow() / origin.work();
    if (!server.isPaused() && window.size() > most) {
      server.pause(origin.stopped());
      world.report.originStopped();
      if (coldOnes > window.size() / 2) {
        world.report.broken(now, "the origin was stopped by misses of cold caches");
      }
    }
  }

  private void done(Attempt attempt) {
    Ask.Try asked = attempt.asked;
    Ask ask = attempt.ask;
    if (!ask.kind.write()) {
      attempt.instance.missedAt(asked).forEach(node -> node.store(ask.key));
    } else {
      world.caches().forEach(node -> node.forget(ask.key));
      run(asked, ask);
    }
    attempt.answer(Result.OK);
  }

  /** The rule on effects: an unsafe one runs once, a keyed one is dropped within its window. */
  private void run(Ask.Try asked, Ask ask) {
    double now = world.clock.now();
    boolean dropped = ask.kind.rules().idempotency() == Idempotency.KEYED && asked.runs > 0
        && now - asked.ranAt <= ask.kind.rules().dedupWindow();
    if (dropped || ask.kind.rules().idempotency() == Idempotency.SAFE) {
      return;
    }
    asked.runs++;
    asked.ranAt = now;
    if (asked.runs > 1) {
      world.report.broken(now, "an effect ran twice: class " + ask.kind.name());
    }
  }
}
