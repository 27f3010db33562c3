package beampoint.settings;

import beampoint.Balancer;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.Settings;
import beampoint.Balancer.Tenant;
import beampoint.Balancer.WeightSource;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads the settings of a balancer by their flat field names, which the simulator and real proxies share.
 * Some of these names differ from those in the code: {@code lanes} are request classes, {@code accounts}
 * tenants, {@code skus} hardware kinds and {@code localities} zones; {@link SocketSettings} reads the last
 * two.
 */
public final class SettingsReader {

  private SettingsReader() {}

  /** Reads the settings with which a balancer starts. */
  public static Settings read(Fields fields) throws InputException {
    List<RequestClass> classes = new ArrayList<>();
    int classCount = fields.integer("lanes.count", 0);
    for (int i = 0; i < classCount; i++) {
      String prefix = "lanes." + i + ".";
      classes.add(new RequestClass(idempotency(fields, prefix + "idempotency"),
          group(fields, prefix + "group"), fields.number(prefix + "dedup-window-ms", 0),
          fields.positive(prefix + "target-ms"), fields.positive(prefix + "hard-limit-ms"),
          fields.number(prefix + "points", 1), fields.number(prefix + "late-worth", 0)));
    }
    List<Tenant> tenants = new ArrayList<>();
    int tenantCount = fields.integer("accounts.count", 0);
    for (int i = 0; i < tenantCount; i++) {
      tenants.add(new Tenant(fields.number("accounts." + i + ".quota-per-s", 0)));
    }
    int maxAttempts = fields.integer("policy-limits.max-attempts", 1);
    if (maxAttempts <= 0) {
      throw fields.invalid("policy-limits.max-attempts", "not above 0: " + maxAttempts);
    }
    // "aside" is cache-aside: the proxy itself sends requests to the origin.
    boolean hasOrigin = fields.text("family-info.mode", "").equals("aside");
    return new Settings(fields.wholeNumber("nonce64"), fields.integer("siblings", 1),
        fields.integer("zone", 0),
        !fields.text("discovery", "automatic").equals("subscribe"), weightSource(fields),
        hasOrigin ? fields.integer("family-info.origin-kind", -1) : -1, fields.number("over-share-worth", 1),
        new Balancer.Limits(maxAttempts,
            fields.flag("policy-limits.second-copies", false), fields.flag("policy-limits.probes", false),
            fields.flag("policy-limits.retry-after", false),
            fields.number("policy-limits.max-retry-after-ms", 0),
            fields.number("policy-limits.connect-timeout-ms", 0)),
        new Balancer.Rules(fields.number("rules.drain-grace-ms", 0), fields.number("rules.fall-multiple", 1),
            fields.number("rules.tip-after-ms", 1000), fields.number("rules.cold-from", 1),
            fields.number("rules.cold-ms", 0), fields.number("rules.ask-every-ms", 10_000)),
        new Balancer.Prices(price(fields, "connection"), price(fields, "handshake"),
            price(fields, "probe"), price(fields, "cross-zone")),
        List.copyOf(classes), List.copyOf(tenants));
  }

  private static double price(Fields fields, String name) throws InputException {
    double price = fields.number("prices." + name, 0);
    if (price < 0) {
      throw fields.invalid("prices." + name, "below 0: " + price);
    }
    return price;
  }

  private static Idempotency idempotency(Fields fields, String field) throws InputException {
    return switch (fields.text(field)) {
      case "safe" -> Idempotency.SAFE;
      case "keyed" -> Idempotency.KEYED;
      case "unsafe" -> Idempotency.UNSAFE;
      default -> throw fields.invalid(field, "unknown: '" + fields.text(field) + "'");
    };
  }

  private static DedupGroup group(Fields fields, String field) throws InputException {
    return switch (fields.text(field, "all")) {
      case "all" -> DedupGroup.ALL;
      case "zone" -> DedupGroup.ZONE;
      case "cell" -> DedupGroup.CELL;
      default -> throw fields.invalid(field, "unknown: '" + fields.text(field) + "'");
    };
  }

  private static WeightSource weightSource(Fields fields) {
    return switch (fields.text("weight-source", "off")) {
      case "nominal" -> WeightSource.NOMINAL;
      case "rough" -> WeightSource.ROUGH;
      case "live" -> WeightSource.LIVE;
      default -> WeightSource.NONE;
    };
  }
}
