package beampoint.emulator;

import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.Limits;
import beampoint.Balancer.Prices;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.Rules;
import beampoint.Balancer.Settings;
import beampoint.Balancer.Tenant;
import beampoint.Balancer.WeightSource;
import beampoint.settings.InputException;
import beampoint.yaml.YamlMapping;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A scenario of a fleet: its clients, caches, origin and faults, read from a YAML file. Times are in ms;
 * {@code delay} is the one-way network delay, to which an attempt that crosses zones adds {@code zoneDelay}.
 */
public record Scenario(String name, long seed, double length, double warmUp, int proxies, int zones,
    double zoneDelay, double delay, Limits limits, Rules rules, Prices prices, double overShareWorth,
    List<LoadClass> loadClasses, List<TenantLoad> tenants, Keys keys, Caches caches, Origin origin,
    Clients clients,
    double discoveryDelay, List<Fault> faults) {

  private static final int VERSION = 1;
  private static final double MAX_LENGTH_S = 24 * 3600;
  private static final int MAX_PROCESSES = 4_096; // of a kind; nearly twice the planned fleet
  private static final int MAX_ZONES = 1_024;

  /** A class of requests: its share of all requests, its mean work at a cache in ms, and its settings. */
  public record LoadClass(String name, double share, double work, boolean write, RequestClass requestClass) {}

  /** A tenant: its quota and the rate that it sends, in requests a second. */
  public record TenantLoad(String name, double quota, double rate) {}

  /** Keys with Zipf-distributed popularity; the popularity shifts by {@code drift} keys a second. */
  public record Keys(int count, double exponent, double drift) {}

  /**
   * The cache nodes; {@code memory} is in keys, and a miss takes {@code missPart} of the work of a hit.
   * {@code handshake} is the work in ms of a new connection, {@code idle} the time in ms after which an idle
   * connection is closed, and {@code filled} the fraction of the memory that is filled at the start.
   */
  public record Caches(int count, int cores, int queue, int memory, int connections, double handshake,
      double idle, double missPart, double filled) {}

  /**
   * The origin: its capacity, the multiple of it within a window at which it stops, and for how long it
   * stops.
   */
  public record Origin(int servers, double work, int queue, double stopMultiple, double stopWindow,
      double stopped) {}

  /**
   * The clients' retries; {@code failoverDelay} is how long the load balancer still sends requests to a proxy
   * whose process has ended.
   */
  public record Clients(int retries, double retryPause, double tryPart, double failoverDelay) {}

  /** The kinds of faults. */
  public enum What {
    /** Cache nodes die, and come back empty and cold. */
    CRASH,
    /** Cache nodes do not answer, though they are listed; afterwards they go on with their state. */
    SILENT,
    /** Cache nodes are slower by the factor. */
    SLOW,
    /** Cache nodes refuse new connections. */
    REFUSE,
    /** Cache nodes fail a fraction of their requests, the factor, at once. */
    ERRORS,
    /** Cache nodes drain, are removed, and are replaced under new names, one batch at a time. */
    ROLL,
    /** Proxies are killed and restarted without their learned state. */
    RESTART,
    /** The origin is slower by the factor. */
    ORIGIN_SLOW,
    /** Discovery sends no lists. */
    DISCOVERY_DOWN,
    /** A tenant sends its rate times the factor. */
    SURGE
  }

  /**
   * A fault: its time and duration, the fraction of candidates that it affects, and its factor; zone -1: any.
   */
  public record Fault(What what, double at, double length, double part, double factor, String tenant,
      int zone) {}

  /** Reads a scenario file; an error is reported in one sentence with its line and field. */
  public static Scenario read(Path file) throws InputException {
    return read(file, Map.of());
  }

  /**
   * As {@link #read(Path)}, with some values replaced; they are keyed by field paths, as in error messages.
   */
  public static Scenario read(Path file, Map<String, String> overrides) throws InputException {
    YamlMapping top = YamlMapping.read(file);
    for (Map.Entry<String, String> override : overrides.entrySet()) {
      top.set(override.getKey(), override.getValue());
    }
    return parse(top);
  }

  static Scenario parse(String file, String text) throws InputException {
    return parse(YamlMapping.read(file, text));
  }

  private static Scenario parse(YamlMapping top) throws InputException {
    if (top.wholeNumber("version", Double.NaN, -1_000_000, 1_000_000) != VERSION) {
      throw top.invalid("version", "this program reads version " + VERSION + " only");
    }
    double length = 1000 * top.number("seconds", Double.NaN, 1, MAX_LENGTH_S);
    int zones = top.wholeNumber("zones", 1, 1, MAX_ZONES);
    List<LoadClass> loadClasses = new ArrayList<>();
    for (YamlMapping loadClass : top.list("classes", 1)) {
      loadClasses.add(loadClass(loadClass));
    }
    List<TenantLoad> tenants = new ArrayList<>();
    for (YamlMapping tenant : top.list("tenants", 1)) {
      double quota = tenant.number("quota_per_s", Double.NaN, 0.001, 1e6);
      tenants.add(new TenantLoad(tenant.text("name", null), quota,
          tenant.number("sends_per_s", quota, 0.001, 1e6)));
      tenant.rejectUnknownFields();
    }
    List<Fault> faults = new ArrayList<>();
    for (YamlMapping fault : top.list("faults", 0)) {
      faults.add(fault(fault, zones, tenants));
    }
    Scenario scenario = new Scenario(top.text("name", "unnamed"), (long) top.number("seed", 1, 0, 1e15),
        length, 1000 * top.number("warm_up_seconds", 0, 0, length / 1000),
        top.wholeNumber("proxies", Double.NaN, 1, MAX_PROCESSES), zones, top.number("zone_ms", 1, 0, 1000),
        top.number("network_ms", 0.2, 0, 1000), limits(top.mapping("settings")), rules(top.mapping("rules")),
        prices(top.mapping("prices")), top.number("over_share_worth", 1, 0, 1), List.copyOf(loadClasses),
        List.copyOf(tenants), keys(top.mapping("keys")), caches(top.mapping("caches")),
        origin(top.mapping("origin")), clients(top.mapping("clients")),
        top.number("discovery_ms", 1000, 0, 60_000), List.copyOf(faults));
    top.rejectUnknownFields();
    return scenario;
  }

  private static LoadClass loadClass(YamlMapping fields) throws InputException {
    double deadline = fields.number("deadline_ms", Double.NaN, 1, 600_000);
    RequestClass rules = new RequestClass(fields.enumValue("effect", Idempotency.SAFE, Idempotency.class),
        fields.enumValue("dedup", DedupGroup.ALL, DedupGroup.class),
        fields.number("dedup_ms", 2000, 0, 600_000), fields.number("aim_ms", deadline, 1, deadline), deadline,
        fields.number("worth", 1, 0, 1000),
        fields.number("late_worth", 0, 0, 1));
    LoadClass loadClass = new LoadClass(fields.text("name", null), fields.number("share", 1, 0, 1e6),
        fields.number("work_ms", Double.NaN, 0.001, 60_000), fields.flag("write", false), rules);
    fields.rejectUnknownFields();
    return loadClass;
  }

  private static Limits limits(YamlMapping fields) throws InputException {
    Limits limits = new Limits(fields.wholeNumber("attempts", 3, 1, 100), false, fields.flag("probes", false),
        fields.flag("retry_advice", true), fields.number("longest_advice_ms", 400, 0, 60_000),
        fields.number("connect_ms", 50, 1, 60_000));
    fields.rejectUnknownFields();
    return limits;
  }

  private static Rules rules(YamlMapping fields) throws InputException {
    Rules rules = new Rules(fields.number("drain_grace_ms", 1000, 0, 60_000),
        fields.number("fall_multiple", 3, 1, 100), fields.number("fall_window_ms", 2000, 1, 60_000),
        fields.number("cold_from", 0.2, 0.001, 1), fields.number("warm_up_ms", 20_000, 0, 600_000), 10_000);
    fields.rejectUnknownFields();
    return rules;
  }

  private static Prices prices(YamlMapping fields) throws InputException {
    Prices prices = new Prices(fields.number("hundred_connections", 0, 0, 1),
        fields.number("handshake", 0, 0, 1), fields.number("probe", 0.01, 0, 1),
        fields.number("cross_zone", 0, 0, 1));
    fields.rejectUnknownFields();
    return prices;
  }

  private static Keys keys(YamlMapping fields) throws InputException {
    Keys keys = new Keys(fields.wholeNumber("count", 20_000, 1, 50_000_000), fields.number("zipf", 0.9, 0, 5),
        fields.number("drift_per_s", 0, 0, 1e6));
    fields.rejectUnknownFields();
    return keys;
  }

  private static Caches caches(YamlMapping fields) throws InputException {
    Caches caches = new Caches(fields.wholeNumber("count", Double.NaN, 1, MAX_PROCESSES),
        fields.wholeNumber("cores", 2, 1, 1024), fields.wholeNumber("queue", 40, 0, 1_000_000),
        fields.wholeNumber("memory_keys", 2000, 1, 50_000_000),
        fields.wholeNumber("connections", 1000, 1, 1_000_000),
        fields.number("handshake_ms", 0.5, 0, 1000), fields.number("idle_ms", 10_000, 1, 3_600_000),
        fields.number("miss_part", 0.2, 0.001, 1), fields.number("filled", 1, 0, 1));
    fields.rejectUnknownFields();
    return caches;
  }

  private static Origin origin(YamlMapping fields) throws InputException {
    Origin origin = new Origin(fields.wholeNumber("servers", 10, 1, 100_000),
        fields.number("work_ms", 100, 0.001, 60_000), fields.wholeNumber("queue", 200, 0, 1_000_000),
        fields.number("stop_multiple", 3, 1, 1000), fields.number("stop_window_ms", 3000, 1, 60_000),
        fields.number("stopped_ms", 3000, 0, 600_000));
    fields.rejectUnknownFields();
    return origin;
  }

  private static Clients clients(YamlMapping fields) throws InputException {
    Clients clients = new Clients(fields.wholeNumber("retries", 2, 0, 100),
        fields.number("wait_ms", 200, 0, 60_000), fields.number("try_part", 0.6, 0.01, 1),
        fields.number("front_notices_ms", 2000, 0, 60_000));
    fields.rejectUnknownFields();
    return clients;
  }

  private static Fault fault(YamlMapping fields, int zones, List<TenantLoad> tenants) throws InputException {
    What what = fields.enumValue("what", null, What.class);
    String tenant = fields.text("tenant", "");
    if (what == What.SURGE && tenants.stream().noneMatch(t -> t.name().equals(tenant))) {
      throw fields.invalid("tenant", "no tenant of this scenario: '" + tenant + "'");
    }
    boolean errors = what == What.ERRORS;
    Fault fault = new Fault(what, 1000 * fields.number("at_s", Double.NaN, 0, MAX_LENGTH_S),
        1000 * fields.number("for_s", 5, 0, MAX_LENGTH_S), fields.number("part", 0.25, 0, 1),
        fields.number("factor", errors ? 0.5 : 4, 0, errors ? 1 : 1000), tenant,
        fields.wholeNumber("zone", -1, -1, zones - 1));
    fields.rejectUnknownFields();
    return fault;
  }

  /** The settings of an instance, with a seed of its own. */
  Settings settings(long instanceSeed, int zone) {
    return new Settings(instanceSeed, proxies, zone, true, WeightSource.NOMINAL, World.ORIGIN, overShareWorth,
        limits, rules, prices, loadClasses.stream().map(LoadClass::requestClass).toList(),
        tenants.stream().map(t -> new Tenant(t.quota())).toList());
  }

  /** The same scenario with another seed. */
  public Scenario withSeed(long newSeed) {
    return new Scenario(name, newSeed, length, warmUp, proxies, zones, zoneDelay, delay, limits, rules,
        prices, overShareWorth, loadClasses, tenants, keys, caches, origin, clients, discoveryDelay, faults);
  }
}
