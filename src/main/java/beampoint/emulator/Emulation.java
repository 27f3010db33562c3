package beampoint.emulator;

import beampoint.Balancer;
import beampoint.Balancer.Settings;
import java.util.function.Function;

/** Runs a scenario in virtual time: the same seed gives exactly the same report. */
public final class Emulation {

  private static final double START = 1e9; // ms; so that a start time of 0 is long ago

  private Emulation() {}

  /** Runs a scenario with proxies that are instances of a decision module. */
  public static Report run(Scenario scenario, Function<Settings, Balancer> factory) {
    return new World(scenario, new Clock(START),
        (world, number, zone) -> new ModuleInstance(world, number, zone, factory)).run();
  }
}
