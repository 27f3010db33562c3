package beampoint.emulator;

import beampoint.Balancer;
import beampoint.Balancer.Settings;
import java.util.function.Function;

/** A day of a fleet in virtual time: the same seed gives the same report, to the last digit. */
public final class Emulation {

  private static final double START = 1e9; // the clock at the start of a day, long after "long ago"

  private Emulation() {}

  /** Plays a day round instances of a decision module. */
  public static Report run(Scenario scenario, Function<Settings, Balancer> factory) {
    return new World(scenario, new Clock(START),
        (world, number, zone) -> new ModuleInstance(world, number, zone, factory)).play();
  }
}
