package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.Result;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A model of the origin: it holds all keys, applies all writes, and stops for a while when it is overloaded.
 */
final class OriginServer {

  static final String ID = "origin";

  /** The arrival of a fetch or a write; {@code cold} if it follows a miss at a cold cache. */
  private record Arrival(double at, boolean cold) {}

  private final World world;
  private final Scenario.Origin origin;
  private final Server server;
  private final Deque<Arrival> window = new ArrayDeque<>();
  private int coldArrivals;
  double slowness = 1;

  OriginServer(World world) {
    this.world = world;
    this.origin = world.scenario.origin();
    this.server = new Server(world.clock, origin.servers(), origin.queue());
  }

  static Endpoint endpoint() {
    return new Endpoint(ID, 0, World.ORIGIN, 0, EndpointState.RUNNING, 1, 0);
  }

  void receive(Attempt attempt) {
    world.report.recordFetch();
    recordArrival(attempt);
    attempt.server = server;
    attempt.job = server.submit(() -> attempt.request.work * origin.work() * slowness, () -> done(attempt));
    if (attempt.job == null) {
      attempt.answer(Result.FULL);
    }
  }

  private void recordArrival(Attempt attempt) {
    double now = world.clock.now();
    boolean cold = attempt.instance.missedNodes(attempt.clientTry).stream().anyMatch(CacheNode::isCold);
    window.add(new Arrival(now, cold));
    coldArrivals += cold ? 1 : 0;
    while (window.peekFirst().at() < now - origin.stopWindow()) {
      coldArrivals -= window.pollFirst().cold() ? 1 : 0;
    }
    double maxArrivals = origin.stopMultiple() * origin.servers() * origin.stopWindow() / origin.work();
    if (!server.isPaused() && window.size() > maxArrivals) {
      server.pause(origin.stopped());
      world.report.recordOriginStop();
      if (coldArrivals > window.size() / 2) {
        world.report.recordBrokenRule(now, "the origin was stopped by misses of cold caches");
      }
    }
  }

  private void done(Attempt attempt) {
    ClientRequest.Try clientTry = attempt.clientTry;
    ClientRequest request = attempt.request;
    if (!request.loadClass.write()) {
      attempt.instance.missedNodes(clientTry).forEach(node -> node.store(request.key));
    } else {
      world.caches().forEach(node -> node.invalidate(request.key));
      runEffect(clientTry, request);
    }
    attempt.answer(Result.OK);
  }

  /**
   * Checks the rule on effects: an unsafe one runs once; repeats of a keyed one are dropped within its dedup
   * window.
   */
  private void runEffect(ClientRequest.Try clientTry, ClientRequest request) {
    double now = world.clock.now();
    boolean deduplicated =
        request.loadClass.requestClass().idempotency() == Idempotency.KEYED && clientTry.effectRuns > 0
            && now - clientTry.effectRanAt <= request.loadClass.requestClass().dedupWindow();
    if (deduplicated || request.loadClass.requestClass().idempotency() == Idempotency.SAFE) {
      return;
    }
    clientTry.effectRuns++;
    clientTry.effectRanAt = now;
    if (clientTry.effectRuns > 1) {
      world.report.recordBrokenRule(now, "an effect ran twice: class " + request.loadClass.name());
    }
  }
}
