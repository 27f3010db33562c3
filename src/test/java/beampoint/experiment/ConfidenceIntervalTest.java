package beampoint.experiment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Confidence intervals against a known case and by their coverage. */
class ConfidenceIntervalTest {

  @Test
  void anIntervalMatchesAPublishedQuantile() {
    ConfidenceInterval interval = ConfidenceInterval.of(new double[] {1, 2, 3, 4, 5, 6, 7, 8, 9, 10});
    assertEquals(5.5, interval.mean(), 1e-12);
    double t = 2.2622; // 97.5% quantile for 9 degrees of freedom, from a table
    assertEquals(t * 3.02765 / Math.sqrt(10), interval.halfWidth(), 1e-4);
  }

  @Test
  void ninetyFivePercentOfTheIntervalsContainTheMean() {
    Random random = new Random(3);
    int containsMean = 0;
    for (int i = 0; i < 4000; i++) {
      double[] values = random.doubles(10).map(x -> random.nextGaussian()).toArray();
      containsMean += ConfidenceInterval.of(values).excludesZero() ? 0 : 1;
    }
    assertTrue(containsMean > 0.94 * 4000 && containsMean < 0.96 * 4000,
        "intervals that contain the mean: " + containsMean);
  }

  /** Seeds differ far more than variants do: only the paired differences show a small effect. */
  @Test
  void pairedDifferencesShowAnEffectThatSeparateMeansDoNot() {
    Random random = new Random(3);
    double[] base = random.doubles(12).map(x -> 10 * x).toArray();
    double[] changed = new double[base.length];
    for (int i = 0; i < base.length; i++) {
      changed[i] = base[i] + 0.1 + 0.05 * random.nextDouble();
    }
    assertTrue(ConfidenceInterval.ofDifference(changed, base).excludesZero());
    assertFalse(ConfidenceInterval.of(changed).low() > ConfidenceInterval.of(base).high());
  }
}
