package beampoint.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Intervals hold what they say they hold, as often as they say. */
class ConfidenceIntervalTest {

  @Test
  void aKnownCase() {
    ConfidenceInterval interval = ConfidenceInterval.of(new double[] {1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    assertEquals(5.5, interval.mean(), 1e-12);
    double t = 2.2622; // of 9 degrees of freedom, from a table
    assertEquals(t * 3.02765 / Math.sqrt(10), interval.halfWidth(), 1e-4);
  }

  @Test
  void ninetyFiveOfAHundredIntervalsHoldTheMean() {
    Random random = new Random(3);
    int held = 0;
    for (int i = 0; i < 4000; i++) {
      double[] values = random.doubles(10).map(x -> random.nextGaussian()).toArray();
      held += ConfidenceInterval.of(values).excludesZero() ? 0 : 1;
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
    assertTrue(ConfidenceInterval.ofDifference(next, base).excludesZero());
    assertFalse(ConfidenceInterval.of(next).low() > ConfidenceInterval.of(base).high());
  }
}
