package beampoint.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The figures of a fleet's control on one day, and which of the operators' limits they break. */
public final class ControlReport {

  private final Map<String, Double> figures = new LinkedHashMap<>();
  private final List<String> brokenLimits = new ArrayList<>();

  void figure(String name, double value) {
    figures.put(name, value);
  }

  /** A figure that a limit holds for. */
  void figure(String name, double value, double most) {
    figure(name, value);
    if (!(value <= most)) {
      brokenLimits.add(name + " is " + shown(value) + ", more than " + shown(most));
    }
  }

  /** A figure that must be 0. */
  void never(String name, double value) {
    figure(name, value, 0);
  }

  /** What broke a limit, in the order of the figures. */
  public List<String> brokenLimits() {
    return List.copyOf(brokenLimits);
  }

  /** All figures by name. */
  public Map<String, String> figures() {
    Map<String, String> shown = new LinkedHashMap<>();
    figures.forEach((name, value) -> shown.put(name, shown(value)));
    return shown;
  }

  double value(String name) {
    return figures.get(name);
  }

  private static String shown(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.4g", value);
  }
}
