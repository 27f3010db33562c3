package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Limits;
import beampoint.Balancer.Prices;
import beampoint.Balancer.Result;
import beampoint.Balancer.Rules;
import beampoint.Balancer.Send;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.Settings;
import beampoint.Balancer.Tenant;
import beampoint.Balancer.TimerFired;
import beampoint.Balancer.WeightSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Many instances send misses to one origin at a higher rate than it can serve. The origin works on all
 * fetches in order, also on those that have timed out.
 */
class OriginOverloadTest {

  private static final int INSTANCES = 200;
  private static final double CAPACITY = 0.2; // fetches per ms
  private static final double MAX_QUEUE_MS = 3_000;
  private static final double MISS_MS = 60; // time until a cache reports a miss

  private record Task(double at, long order, Runnable action) {}

  private final PriorityQueue<Task> tasks = new PriorityQueue<>(
      (a, b) -> a.at != b.at ? Double.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final List<BalancerFixture> fleet = new ArrayList<>();
  private final Map<String, Integer> attempts = new HashMap<>(); // by instance and request
  private final Random random = new Random(11);
  private double now = 50_000;
  private double busyUntil;
  private long order;
  private int served;

  private void schedule(double time, Runnable action) {
    tasks.add(new Task(time, order++, action));
  }

  private void carryOut(int instance, List<Action> actions) {
    for (Action action : actions) {
      if (action instanceof SetTimer a) {
        schedule(now + a.delay(), () -> handleEvent(instance, new TimerFired(a.token())));
      } else if (action instanceof Send a) {
        int number = attempts.merge(instance + "/" + a.id(), 1, Integer::sum) - 1;
        double sentAt = now;
        double limit = a.timeout() > 0 ? a.timeout() : 800;
        if (!a.endpoint().equals("origin")) {
          schedule(now + MISS_MS, () -> end(instance, a, number, sentAt, Result.MISS));
        } else if (busyUntil > now + MAX_QUEUE_MS) {
          schedule(now + 1, () -> end(instance, a, number, sentAt, Result.FULL));
        } else {
          busyUntil = Math.max(now, busyUntil) + 1 / CAPACITY;
          boolean inTime = busyUntil <= now + limit;
          schedule(inTime ? busyUntil : now + limit,
              () -> end(instance, a, number, sentAt, inTime ? Result.OK : Result.TIMEOUT));
        }
      }
    }
  }

  private void end(int instance, Send send, int number, double sentAt, Result result) {
    served += result == Result.OK ? 1 : 0;
    handleEvent(instance,
        new AttemptEnded(send.id(), number, send.endpoint(), now - sentAt, result, result == Result.OK));
  }

  private void handleEvent(int instance, Balancer.Event event) {
    fleet.get(instance).now = now;
    carryOut(instance, fleet.get(instance).balancer.handle(now, event));
  }

  private void arrive(double rate, double end) {
    int instance = random.nextInt(INSTANCES);
    fleet.get(instance).now = now;
    carryOut(instance, fleet.get(instance).read(order + 1_000));
    double next = now - Math.log(1 - random.nextDouble()) / rate;
    if (next < end) {
      schedule(next, () -> arrive(rate, end));
    }
  }

  private void run(double time) {
    double end = now + time;
    while (!tasks.isEmpty() && tasks.peek().at < end) {
      Task task = tasks.poll();
      now = task.at;
      task.action.run();
    }
    now = end;
  }

  /**
   * With the origin kept busy by fetches that no client waits for any more, nothing would be served in time.
   */
  @Test
  void anOverloadedOriginServesMostOfWhatItCan() {
    for (int i = 0; i < INSTANCES; i++) {
      // BalancerFixture.settings names the parameters in order.
      fleet.add(new BalancerFixture(
          new Settings(i, INSTANCES, i % 2, true, WeightSource.NOMINAL, BalancerFixture.ORIGIN, 0.1,
              new Limits(3, false, false, true, 400, 50), new Rules(500, 3, 2_000, 0.25, 8_000, 10_000),
              new Prices(0, 0, 0, 0.02), List.of(BalancerFixture.READ), List.of(new Tenant(1_000))))
          .withFleet(20));
    }
    arrive(2 * CAPACITY, now + 30_000);
    run(15_000);
    served = 0;
    run(15_000);
    double part = served / (CAPACITY * 15_000);
    assertTrue(part > 0.5, "part served of what the origin can serve: " + part);
  }
}
