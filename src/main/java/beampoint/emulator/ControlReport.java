package beampoint.emulator;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The figures of one control scenario, and the limits of the scenario that they exceed. */
public final class ControlReport {

  private final Map<String, Double> figures = new LinkedHashMap<>();
  private final List<String> brokenLimits = new ArrayList<>();

  /** Adds a figure without a limit. */
  void figure(String name, double value) {
    figures.put(name, value);
  }

  /** Adds a figure that must not exceed a limit. */
  void figure(String name, double value, double limit) {
    figure(name, value);
    if (!(value <= limit)) {
      brokenLimits.add(name + " is " + format(value) + ", more than " + format(limit));
    }
  }

  /** Adds a figure that must be 0. */
  void mustBeZero(String name, double value) {
    figure(name, value, 0);
  }

  /** Describes the exceeded limits, in the order of the figures. */
  public List<String> brokenLimits() {
    return List.copyOf(brokenLimits);
  }

  /** Returns all figures as text, by name. */
  public Map<String, String> figures() {
    Map<String, String> formatted = new LinkedHashMap<>();
    figures.forEach((name, value) -> formatted.put(name, format(value)));
    return formatted;
  }

  double value(String name) {
    return figures.get(name);
  }

  private static String format(double value) {
    return value == Math.rint(value) && Math.abs(value) < 1e15 ? Long.toString((long) value)
        : String.format(Locale.ROOT, "%.4g", value);
  }
}
