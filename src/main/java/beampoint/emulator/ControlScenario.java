package beampoint.emulator;

import beampoint.settings.InputException;
import beampoint.yaml.YamlMapping;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A scenario for the control plane of a fleet: its layout, the changes and the faults. {@code length} and
 * {@code warmUp} are in ms.
 */
public record ControlScenario(String name, long seed, double length, double warmUp, Size size,
    Membership membership, int fanOut, Network network, Changes changes, Limits limits, List<Fault> faults) {

  private static final int VERSION = 1;
  private static final String MODEL = "control";
  private static final double MAX_SECONDS = 3_600;
  private static final double SECONDS_PER_DAY = 24 * 3_600;

  /** The numbers of proxies, sites, zones, regions and control machines. */
  public record Size(int proxies, int sites, int zones, int regions, int controlMachines) {}

  /**
   * Membership. The protocol is not run at the size of the fleet, where the views follow a model.
   *
   * @param members the number of members of an additional smaller fleet that runs the protocol
   * @param bytesPerSecond the assumed traffic of the protocol at a proxy of the fleet, sent and received
   */
  public record Membership(int members, double bytesPerSecond) {}

  /** One-way delays in ms by distance, and the fractions of messages that are lost and duplicated. */
  public record Network(double site, double region, double far, double jitter, double loss,
      double duplicated) {}

  /** Purges per second, configuration changes per second, and the length of a configuration document. */
  public record Changes(double purges, double configurations, int documentBytes) {}

  /**
   * The operators' limits.
   *
   * @param bytesPerSecond traffic of one proxy, sent and received
   * @param heapMb heap of one proxy
   * @param cpuFraction processor time of one proxy, as a fraction of the elapsed time
   * @param purgeMs time from the commit of a purge until the last reachable proxy has applied it
   * @param configurationMs the same for a configuration change
   */
  public record Limits(double bytesPerSecond, double heapMb, double cpuFraction, double purgeMs,
      double configurationMs) {}

  /** The kind of a fault. */
  public enum What {
    /** All hosts of a zone are killed, and restarted at the end of the fault. */
    ZONE_LOST,
    /** A region is cut off from all others in both directions. */
    REGION_CUT
  }

  /**
   * One fault.
   *
   * @param place the number of the zone or region
   * @param at when it begins, in ms
   * @param length its duration in ms
   */
  public record Fault(What what, int place, double at, double length) {}

  /** Whether a file is a scenario of this kind. */
  public static boolean isControlScenario(Path file) throws InputException {
    return YamlMapping.read(file).text("model", "requests").equals(MODEL);
  }

  /**
   * Reads a scenario from a file.
   *
   * @throws InputException if the file is invalid, with a message of one line
   */
  public static ControlScenario read(Path file) throws InputException {
    return parse(YamlMapping.read(file));
  }

  static ControlScenario parse(String file, String text) throws InputException {
    return parse(YamlMapping.read(file, text));
  }

  private static ControlScenario parse(YamlMapping top) throws InputException {
    if (top.wholeNumber("version", Double.NaN, -1_000_000, 1_000_000) != VERSION) {
      throw top.invalid("version", "this program reads version " + VERSION + " only");
    }
    if (!top.text("model", null).equals(MODEL)) {
      throw top.invalid("model", "only '" + MODEL + "' is known");
    }
    double seconds = top.number("seconds", Double.NaN, 1, MAX_SECONDS);
    Size size = size(top);
    List<Fault> faults = new ArrayList<>();
    for (YamlMapping fault : top.list("faults", 0)) {
      faults.add(fault(fault, size, seconds));
    }
    ControlScenario scenario = new ControlScenario(top.text("name", "unnamed"),
        (long) top.number("seed", 1, 0, 1e15), 1_000 * seconds,
        1_000 * top.number("warm_up_seconds", 0, 0, seconds), size,
        membership(top.mapping("membership"), size), top.wholeNumber("fan_out", 1, 0, 4),
        network(top.mapping("network")), changes(top.mapping("changes")), limits(top.mapping("limits")),
        List.copyOf(faults));
    top.rejectUnknownFields();
    return scenario;
  }

  private static Size size(YamlMapping top) throws InputException {
    int proxies = top.wholeNumber("proxies", Double.NaN, 1, 4_000);
    int sites = top.wholeNumber("sites", Double.NaN, 1, proxies);
    int zones = top.wholeNumber("zones", Double.NaN, 1, sites);
    int regions = top.wholeNumber("regions", Double.NaN, 1, zones);
    return new Size(proxies, sites, zones, regions, top.wholeNumber("control_machines", Double.NaN, 1, 64));
  }

  private static Membership membership(YamlMapping fields, Size size) throws InputException {
    Membership membership = new Membership(fields.wholeNumber("members", 0, 0, size.proxies()),
        fields.number("bytes_s", 1_114, 0, 1e6));
    fields.rejectUnknownFields();
    return membership;
  }

  private static Network network(YamlMapping fields) throws InputException {
    Network network = new Network(fields.number("site_ms", 0.3, 0, 1_000),
        fields.number("region_ms", 5, 0, 1_000), fields.number("far_ms", 40, 0, 1_000),
        fields.number("jitter_ms", 5, 0, 1_000), fields.number("loss", 0, 0, 0.5),
        fields.number("repeats", 0, 0, 0.5));
    fields.rejectUnknownFields();
    return network;
  }

  private static Changes changes(YamlMapping fields) throws InputException {
    Changes changes = new Changes(fields.number("purges_per_s", 27, 0.1, 1_000),
        fields.number("configurations_per_day", 3_100, 0, 1e6) / SECONDS_PER_DAY,
        fields.wholeNumber("document_bytes", 2_000, 2, 60_000));
    fields.rejectUnknownFields();
    return changes;
  }

  private static Limits limits(YamlMapping fields) throws InputException {
    Limits limits = new Limits(fields.number("bytes_s", 3_000, 1, 1e9),
        fields.number("heap_mb", 32, 0.1, 1e5),
        fields.number("cpu_part", 0.032, 1e-6, 64), fields.number("purge_ms", 2_400, 1, 1e6),
        fields.number("config_ms", 18_000, 1, 1e6));
    fields.rejectUnknownFields();
    return limits;
  }

  private static Fault fault(YamlMapping fields, Size size, double seconds) throws InputException {
    What what = fields.enumValue("what", null, What.class);
    String field = what == What.ZONE_LOST ? "zone" : "region";
    int maxPlace = what == What.ZONE_LOST ? size.zones() - 1 : size.regions() - 1;
    int place = fields.wholeNumber(field, Double.NaN, 0, maxPlace);
    double at = fields.number("at_s", Double.NaN, 0, seconds);
    Fault fault = new Fault(what, place, 1_000 * at,
        1_000 * fields.number("for_s", Double.NaN, 0.1, seconds - at));
    fields.rejectUnknownFields();
    return fault;
  }

  /** Returns the same scenario with another seed. */
  public ControlScenario withSeed(long other) {
    return new ControlScenario(name, other, length, warmUp, size, membership, fanOut, network, changes,
        limits, faults);
  }
}
