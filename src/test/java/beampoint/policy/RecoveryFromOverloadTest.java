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

/** A balancer that has seen a jam still tries: it does not turn away all that it gets for seconds on end. */
class RecoveryFromOverloadTest {

  private static final double MAX_MS = 4_000; // in which all may be turned away, with no attempt between
  private static final int FEW = 15; // fewer in that time tell nothing
  private static final int CACHES = 14;

  /** An attempt that ends at some time. */
  private record Out(double endsAt, long id, int attempt, String endpoint, double sentAt) {}

  /** Requests at a steady rate to caches that all do badly, and what comes of them. */
  private static final class Day {
    private final Fixture balancer = new Fixture(Fixture.READ).withFleet(CACHES);
    private final Random random;
    private final Result result;
    private final double takes; // ms until an attempt ends; 0: at its limit
    private final PriorityQueue<Out> open = new PriorityQueue<>(Comparator.comparingDouble(Out::endsAt));
    private final Map<Long, Integer> attempts = new HashMap<>(); // of each request
    private double lastAttempt;
    private int refusedSince;

    Day(long seed, Result result, double takes) {
      this.random = new Random(seed);
      this.result = result;
      this.takes = takes;
    }

    private void note(List<Action> actions) {
      for (Action action : actions) {
        if (action instanceof Send send) {
          attempts.merge(send.id(), 1, Integer::sum);
          double ends = balancer.now + (takes > 0 ? takes : send.timeout() > 0 ? send.timeout() : 1_000);
          open.add(new Out(ends, send.id(), attempts.get(send.id()) - 1, send.endpoint(), balancer.now));
          lastAttempt = balancer.now;
          refusedSince = 0;
        }
      }
    }

    /** Plays so many ms at a rate; returns the most that were turned away in a row over the longest time. */
    List<String> play(double length, double perSecond, Result now) {
      List<String> problems = new ArrayList<>();
      double until = balancer.now + length;
      double next = balancer.now;
      lastAttempt = balancer.now;
      refusedSince = 0;
      while (next < until) {
        while (!open.isEmpty() && open.peek().endsAt <= next) {
          Out out = open.poll();
          balancer.now = Math.max(balancer.now, out.endsAt);
          note(balancer.end(out.id, out.attempt, out.endpoint, balancer.now - out.sentAt, now));
        }
        balancer.now = next;
        List<Action> actions = balancer.read(random.nextInt(10_000));
        refusedSince += Fixture.sentTo(actions) == null ? 1 : 0;
        note(actions);
        if (refusedSince >= FEW && balancer.now - lastAttempt > MAX_MS) {
          problems.add("at " + perSecond + "/s, " + now + ": " + refusedSince + " refused in "
              + (balancer.now - lastAttempt) + " ms");
          return problems;
        }
        next += -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
      }
      return problems;
    }
  }

  @ParameterizedTest
  @EnumSource(value = Result.class, names = {"TIMEOUT", "FULL", "ERROR", "RESET", "CONNECT_FAILED"})
  void aBalancerWhoseCachesAllDoBadlyStillTriesOneAgainWithinSeconds(Result result) {
    for (double perSecond : new double[] {4, 10, 40, 200}) {
      for (long seed = 0; seed < 5; seed++) {
        double takes = result == Result.TIMEOUT ? 0 : 5;
        Day day = new Day(seed, result, takes);
        List<String> problems = day.play(10_000, perSecond, Result.OK);
        problems.addAll(day.play(20_000, perSecond, result));
        assertTrue(problems.isEmpty(), String.join("; ", problems));
      }
    }
  }
}
