package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;

/** Parts of the model against their analytical solutions. */
class ModelTest {

  /** The mean waiting time in an M/M/c queue, by the Erlang C formula. */
  private static double erlangWait(int servers, double rate, double work) {
    double load = rate * work;
    double sum = 0;
    double term = 1;
    for (int n = 0; n < servers; n++) {
      sum += term;
      term *= load / (n + 1);
    }
    double waitingTerm = term * servers / (servers - load);
    return waitingTerm / (sum + waitingTerm) * work / (servers - load);
  }

  @Test
  void theMeanWaitAtAServerMatchesErlangC() {
    for (int servers : new int[] {1, 2, 8}) {
      double work = 10;
      double rate = 0.75 * servers / work;
      Clock clock = new Clock(0);
      Server server = new Server(clock, servers, Integer.MAX_VALUE);
      Random random = new Random(servers);
      double[] waits = new double[2]; // sum, count
      double at = 0;
      for (int i = 0; i < 200_000; i++) {
        at += -Math.log(1 - random.nextDouble()) / rate;
        double arrival = at;
        clock.at(arrival, () -> server.submit(() -> {
          waits[0] += clock.now() - arrival;
          waits[1]++;
          return -Math.log(1 - random.nextDouble()) * work;
        }, () -> {}));
      }
      clock.runTo(at + 100_000);
      assertEquals(200_000, waits[1]);
      double expected = erlangWait(servers, rate, work);
      assertEquals(expected, waits[0] / waits[1], 0.06 * expected, servers + " servers");
    }
  }

  /** The hit ratio of an LRU cache with Zipf-distributed keys, by Che's approximation. */
  @Test
  void theHitRatioOfAMemoryMatchesChesApproximation() {
    int keys = 5000;
    int maxKeys = 500;
    double exponent = 0.9;
    double[] share = new double[keys];
    double sum = 0;
    for (int i = 0; i < keys; i++) {
      share[i] = Math.pow(i + 1, -exponent);
      sum += share[i];
    }
    double time = 1; // characteristic time: a key that was not requested for so long is evicted
    for (int step = 0; step < 200; step++) {
      double occupied = 0;
      for (double keyShare : share) {
        occupied += 1 - Math.exp(-keyShare / sum * time);
      }
      time *= maxKeys / occupied;
    }
    double expected = 0;
    for (double keyShare : share) {
      expected += keyShare / sum * (1 - Math.exp(-keyShare / sum * time));
    }
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1L);
    DiscreteSampler distribution = RejectionInversionZipfSampler.of(random, keys, exponent);
    Map<Long, Boolean> memory = CacheNode.memory(maxKeys);
    int hits = 0;
    for (int i = 0; i < 300_000; i++) {
      long key = distribution.sample();
      hits += i >= 50_000 && memory.get(key) != null ? 1 : 0;
      memory.put(key, true);
    }
    assertEquals(expected, hits / 250_000.0, 0.01);
    assertEquals(maxKeys, new LinkedHashMap<>(memory).size());
  }
}
