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

/** Parts of the model beside what is known of them on paper. */
class ModelTest {

  /** The mean wait of an M/M/c queue, by Erlang's formula. */
  private static double erlangWait(int servers, double rate, double work) {
    double load = rate * work;
    double sum = 0;
    double term = 1;
    for (int n = 0; n < servers; n++) {
      sum += term;
      term *= load / (n + 1);
    }
    double last = term * servers / (servers - load);
    return last / (sum + last) * work / (servers - load);
  }

  @Test
  void aServerWaitsAsErlangSays() {
    for (int servers : new int[] {1, 2, 8}) {
      double work = 10;
      double rate = 0.75 * servers / work;
      Clock clock = new Clock(0);
      Server server = new Server(clock, servers, Integer.MAX_VALUE);
      Random random = new Random(servers);
      double[] waited = new double[2]; // sum, count
      double at = 0;
      for (int i = 0; i < 200_000; i++) {
        at += -Math.log(1 - random.nextDouble()) / rate;
        double came = at;
        clock.at(came, () -> server.submit(() -> {
          waited[0] += clock.now() - came;
          waited[1]++;
          return -Math.log(1 - random.nextDouble()) * work;
        }, () -> {}));
      }
      clock.runTo(at + 100_000);
      assertEquals(200_000, waited[1]);
      double due = erlangWait(servers, rate, work);
      assertEquals(due, waited[0] / waited[1], 0.06 * due, servers + " servers");
    }
  }

  /** The hits of a least-recently-used memory under a Zipf law, by Che's approximation. */
  @Test
  void aMemoryHitsAsOftenAsItsLawSays() {
    int keys = 5000;
    int room = 500;
    double exponent = 0.9;
    double[] share = new double[keys];
    double sum = 0;
    for (int i = 0; i < keys; i++) {
      share[i] = Math.pow(i + 1, -exponent);
      sum += share[i];
    }
    double time = 1; // after which a key that was not asked for is gone
    for (int step = 0; step < 200; step++) {
      double held = 0;
      for (double each : share) {
        held += 1 - Math.exp(-each / sum * time);
      }
      time *= room / held;
    }
    double due = 0;
    for (double each : share) {
      due += each / sum * (1 - Math.exp(-each / sum * time));
    }
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(1L);
    DiscreteSampler law = RejectionInversionZipfSampler.of(random, keys, exponent);
    Map<Long, Boolean> memory = CacheNode.memory(room);
    int hits = 0;
    for (int i = 0; i < 300_000; i++) {
      long key = law.sample();
      hits += i >= 50_000 && memory.get(key) != null ? 1 : 0;
      memory.put(key, true);
    }
    assertEquals(due, hits / 250_000.0, 0.01);
    assertEquals(room, new LinkedHashMap<>(memory).size());
  }
}
