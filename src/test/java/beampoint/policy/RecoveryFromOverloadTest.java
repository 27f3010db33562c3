package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Action;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A balancer whose caches all fail still sends attempts: it does not refuse everything for seconds. */
class RecoveryFromOverloadTest {

  /** Longest time in ms for which requests may be refused while no attempt is sent. */
  private static final double MAX_MS = 4_000;
  /** Smallest number of refusals in that time that counts; fewer may be chance. */
  private static final int MIN_REFUSED = 15;
  private static final int CACHES = 14;

  /** An attempt in flight. */
  private record InFlight(double endsAt, long id, int attempt, String endpoint, double sentAt) {}

  /** Requests at a steady mean rate to caches that all fail in the same way. */
  private static final class Run {
    private final BalancerFixture fixture = new BalancerFixture(BalancerFixture.READ).withFleet(CACHES);
    private final Random random;
    private final Result result;
    private final double duration; // ms until an attempt ends; 0: at its timeout
    private final PriorityQueue<InFlight> inFlight =
        new PriorityQueue<>(Comparator.comparingDouble(InFlight::endsAt));
    private final Map<Long, Integer> attempts = new HashMap<>(); // number of attempts of each request
    private double lastAttempt;
    private int refusedSince;

    Run(long seed, Result result, double duration) {
      this.random = new Random(seed);
      this.result = result;
      this.duration = duration;
    }

    private void start(List<Action> actions) {
      for (Action action : actions) {
        if (action instanceof Send send) {
          attempts.merge(send.id(), 1, Integer::sum);
          double ends =
              fixture.now + (duration > 0 ? duration : send.timeout() > 0 ? send.timeout() : 1_000);
          inFlight.add(
              new InFlight(ends, send.id(), attempts.get(send.id()) - 1, send.endpoint(), fixture.now));
          lastAttempt = fixture.now;
          refusedSince = 0;
        }
      }
    }

    /**
     * Runs for {@code length} ms at a rate; returns a problem if at least MIN_REFUSED requests are refused
     * and no attempt is sent for MAX_MS.
     */
    List<String> run(double length, double perSecond, Result outcome) {
      List<String> problems = new ArrayList<>();
      double until = fixture.now + length;
      double next = fixture.now;
      lastAttempt = fixture.now;
      refusedSince = 0;
      while (next < until) {
        while (!inFlight.isEmpty() && inFlight.peek().endsAt <= next) {
          InFlight attempt = inFlight.poll();
          fixture.now = Math.max(fixture.now, attempt.endsAt);
          start(fixture.endAttempt(attempt.id, attempt.attempt, attempt.endpoint,
              fixture.now - attempt.sentAt,
              outcome));
        }
        fixture.now = next;
        List<Action> actions = fixture.read(random.nextInt(10_000));
        refusedSince += BalancerFixture.sentTo(actions) == null ? 1 : 0;
        start(actions);
        if (refusedSince >= MIN_REFUSED && fixture.now - lastAttempt > MAX_MS) {
          problems.add("at " + perSecond + "/s, " + outcome + ": " + refusedSince + " refused in "
              + (fixture.now - lastAttempt) + " ms");
          return problems;
        }
        next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      }
      return problems;
    }
  }

  @ParameterizedTest
  @EnumSource(value = Result.class, names = {"TIMEOUT", "FULL", "ERROR", "RESET", "CONNECT_FAILED"})
  void aBalancerWhoseCachesAllFailSendsAnAttemptWithinSeconds(Result result) {
    for (double perSecond : new double[] {4, 10, 40, 200}) {
      for (long seed = 0; seed < 5; seed++) {
        double duration = result == Result.TIMEOUT ? 0 : 5;
        Run run = new Run(seed, result, duration);
        List<String> problems = run.run(10_000, perSecond, Result.OK);
        problems.addAll(run.run(20_000, perSecond, result));
        assertTrue(problems.isEmpty(), String.join("; ", problems));
      }
    }
  }
}
