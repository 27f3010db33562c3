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
    attempt.job = server.take(() -> attempt.request.work * origin.work() * slowness, () -> done(attempt));
    if (attempt.job == null) {
      attempt.answer(Result.FULL);
    }
  }

  private void press(Attempt attempt) {
    double now = world.clock.now();
    boolean cold = attempt.instance.missedAt(attempt.clientTry).stream().anyMatch(CacheNode::isCold);
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
    ClientRequest.Try clientTry = attempt.clientTry;
    ClientRequest request = attempt.request;
    if (!request.kind.write()) {
      attempt.instance.missedAt(clientTry).forEach(node -> node.store(request.key));
    } else {
      world.caches().forEach(node -> node.forget(request.key));
      run(clientTry, request);
    }
    attempt.answer(Result.OK);
  }

  /** The rule on effects: an unsafe one runs once, a keyed one is dropped within its window. */
  private void run(ClientRequest.Try clientTry, ClientRequest request) {
    double now = world.clock.now();
    boolean dropped = request.kind.rules().idempotency() == Idempotency.KEYED && clientTry.runs > 0
        && now - clientTry.ranAt <= request.kind.rules().dedupWindow();
    if (dropped || request.kind.rules().idempotency() == Idempotency.SAFE) {
      return;
    }
    clientTry.runs++;
    clientTry.ranAt = now;
    if (clientTry.runs > 1) {
      world.report.broken(now, "an effect ran twice: class " + request.kind.name());
    }
  }
}
