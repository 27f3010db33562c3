package beampoint.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Intervals hold what they say they hold, as often as they say. */
class IntervalTest {

  @Test
  void aKnownCase() {
    Interval interval = Interval.of(new double[] {1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    assertEquals(5.5, interval.mean(), 1e-12);
    assertEquals(2.2622 * 3.02765 / Math.sqrt(10), interval.half(), 1e-4); // t of 9 degrees, from a table
  }

  @Test
  void ninetyFiveOfAHundredIntervalsHoldTheMean() {
    Random random = new Random(3);
    int held = 0;
    for (int i = 0; i < 4000; i++) {
      double[] values = random.doubles(10).map(x -> random.nextGaussian()).toArray();
      held += Interval.of(values).excludesZero() ? 0 : 1;
    }
    assertTrue(held > 0.94 * 4000 && held < 0.96 * 4000, "held: " + held);
  }

  /** Days differ far more than variants do: in pairs a small difference shows that is lost without. */
  @Test
  void pairsShowWhatMeansBesideEachOtherHide() {
    Random random = new Random(3);
    double[] base = random.doubles(12).map(x -> 10 * x).toArray();
    double[] next = new double[base.length];
    for (int i = 0; i < base.length; i++) {
      next[i] = base[i] + 0.1 + 0.05 * random.nextDouble();
    }
    assertTrue(Interval.ofDifference(next, base).excludesZero());
    assertFalse(Interval.of(next).low() > Interval.of(base).high());
  }
}
