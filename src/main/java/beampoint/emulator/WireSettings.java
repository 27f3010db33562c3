package beampoint.emulator;

import beampoint.Balancer.RequestClass;
import beampoint.Balancer.Settings;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Locale;

/** Writes settings as JSON, as in a proxy's configuration. */
final class WireSettings {

  private WireSettings() {}

  static JsonObject of(Scenario scenario, Settings settings) {
    JsonObject json = new JsonObject();
    json.addProperty("discovery", "automatic");
    json.addProperty("siblings", settings.siblings());
    json.addProperty("zone", settings.zone());
    json.addProperty("weight-source", "nominal");
    json.addProperty("over-share-worth", settings.overShareWorth());
    JsonArray zones = new JsonArray();
    for (int i = 0; i < scenario.zones(); i++) {
      zones.add("z" + i);
    }
    json.add("localities", zones);
    JsonArray kinds = new JsonArray();
    kinds.add("cache");
    kinds.add("origin");
    json.add("skus", kinds);
    JsonObject family = new JsonObject();
    family.addProperty("mode", "aside");
    family.addProperty("origin-kind", World.ORIGIN);
    json.add("family-info", family);
    JsonObject limits = new JsonObject();
    limits.addProperty("max-attempts", settings.limits().maxAttempts());
    limits.addProperty("probes", settings.limits().probes());
    limits.addProperty("retry-after", settings.limits().retryAdvice());
    limits.addProperty("max-retry-after-ms", settings.limits().maxRetryAfter());
    limits.addProperty("connect-timeout-ms", settings.limits().connectTimeout());
    limits.addProperty("conn-idle-ms", scenario.caches().idle());
    json.add("policy-limits", limits);
    JsonObject rules = new JsonObject();
    rules.addProperty("drain-grace-ms", settings.rules().drainGrace());
    rules.addProperty("fall-multiple", settings.rules().fallMultiple());
    rules.addProperty("tip-after-ms", settings.rules().fallWindow());
    rules.addProperty("cold-from", settings.rules().coldFrom());
    rules.addProperty("cold-ms", settings.rules().warmUp());
    rules.addProperty("ask-every-ms", settings.rules().askEvery());
    json.add("rules", rules);
    JsonObject prices = new JsonObject();
    prices.addProperty("connection", settings.prices().connection());
    prices.addProperty("handshake", settings.prices().handshake());
    prices.addProperty("probe", settings.prices().probe());
    json.add("prices", prices);
    JsonArray lanes = new JsonArray();
    scenario.loadClasses().forEach(loadClass -> lanes.add(lane(loadClass.name(), loadClass.requestClass())));
    json.add("lanes", lanes);
    JsonArray accounts = new JsonArray();
    for (Scenario.TenantLoad tenant : scenario.tenants()) {
      JsonObject account = new JsonObject();
      account.addProperty("name", tenant.name());
      account.addProperty("quota-per-s", tenant.quota());
      accounts.add(account);
    }
    json.add("accounts", accounts);
    return json;
  }

  private static JsonObject lane(String name, RequestClass rules) {
    JsonObject lane = new JsonObject();
    lane.addProperty("name", name);
    lane.addProperty("idempotency", rules.idempotency().name().toLowerCase(Locale.ROOT));
    lane.addProperty("group", rules.group().name().toLowerCase(Locale.ROOT));
    lane.addProperty("dedup-window-ms", rules.dedupWindow());
    lane.addProperty("target-ms", rules.aim());
    lane.addProperty("hard-limit-ms", rules.deadline());
    lane.addProperty("points", rules.worth());
    lane.addProperty("late-worth", rules.lateWorth());
    return lane;
  }
}
