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

/** The settings under their names on the wire, which simulator and real proxies have in common. */
public final class SettingsReader {

  private SettingsReader() {}

  /** Reads all that a balancer is told at its start. */
  public static Settings read(Fields m) throws InputException {
    List<RequestClass> classes = new ArrayList<>();
    int classCount = m.index("lanes.count", 0);
    for (int i = 0; i < classCount; i++) {
      String p = "lanes." + i + ".";
      classes.add(new RequestClass(idempotency(m, p + "idempotency"), group(m, p + "group"),
          m.number(p + "dedup-window-ms", 0), m.positive(p + "target-ms"), m.positive(p + "hard-limit-ms"),
          m.number(p + "points", 1), m.number(p + "late-worth", 0)));
    }
    List<Tenant> tenants = new ArrayList<>();
    int tenantCount = m.index("accounts.count", 0);
    for (int i = 0; i < tenantCount; i++) {
      tenants.add(new Tenant(m.number("accounts." + i + ".quota-per-s", 0)));
    }
    int maxAttempts = m.index("policy-limits.max-attempts", 1);
    if (maxAttempts <= 0) {
      throw m.malformed("policy-limits.max-attempts", "not above 0: " + maxAttempts);
    }
    boolean aside = m.text("family-info.mode", "").equals("aside");
    return new Settings(m.whole("nonce64"), m.index("siblings", 1), m.index("zone", 0),
        !m.text("discovery", "automatic").equals("subscribe"), weightSource(m),
        aside ? m.index("family-info.origin-kind", -1) : -1, m.number("over-share-worth", 1),
        new Balancer.Limits(maxAttempts,
            m.flag("policy-limits.second-copies", false), m.flag("policy-limits.probes", false),
            m.flag("policy-limits.retry-after", false), m.number("policy-limits.max-retry-after-ms", 0),
            m.number("policy-limits.connect-timeout-ms", 0)),
        new Balancer.Rules(m.number("rules.drain-grace-ms", 0), m.number("rules.fall-multiple", 1),
            m.number("rules.tip-after-ms", 1000), m.number("rules.cold-from", 1),
            m.number("rules.cold-ms", 0), m.number("rules.ask-every-ms", 10_000)),
        new Balancer.Prices(price(m, "connection"), price(m, "handshake"),
            price(m, "probe"), price(m, "cross-zone")),
        List.copyOf(classes), List.copyOf(tenants));
  }

  private static double price(Fields m, String name) throws InputException {
    double price = m.number("prices." + name, 0);
    if (price < 0) {
      throw m.malformed("prices." + name, "below 0: " + price);
    }
    return price;
  }

  private static Idempotency idempotency(Fields m, String field) throws InputException {
    return switch (m.text(field)) {
      case "safe" -> Idempotency.SAFE;
      case "keyed" -> Idempotency.KEYED;
      case "unsafe" -> Idempotency.UNSAFE;
      default -> throw m.malformed(field, "unknown: '" + m.text(field) + "'");
    };
  }

  private static DedupGroup group(Fields m, String field) throws InputException {
    return switch (m.text(field, "all")) {
      case "all" -> DedupGroup.ALL;
      case "zone" -> DedupGroup.ZONE;
      case "cell" -> DedupGroup.CELL;
      default -> throw m.malformed(field, "unknown: '" + m.text(field) + "'");
    };
  }

  private static WeightSource weightSource(Fields m) {
    return switch (m.text("weight-source", "off")) {
      case "nominal" -> WeightSource.NOMINAL;
      case "rough" -> WeightSource.ROUGH;
      case "live" -> WeightSource.LIVE;
      default -> WeightSource.NONE;
    };
  }
}
