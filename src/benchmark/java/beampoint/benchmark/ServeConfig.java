package beampoint.benchmark;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;

/** Configurations for the measured {@code serve} processes. */
final class ServeConfig {

  private ServeConfig() {}

  /** A configuration with a known host list, the size of the fleet, and the price of connections. */
  static JsonObject of(JsonObject known, String discovery, int proxies, int zones, int sockets,
      double price) {
    JsonObject config = new JsonObject();
    config.addProperty("discovery", discovery);
    config.addProperty("seed", "1");
    JsonObject limits = new JsonObject();
    limits.addProperty("memory_mb", 192);
    limits.addProperty("sockets", sockets);
    config.add("limits", limits);
    config.add("known", known);
    config.add("settings", settings(proxies, zones, price));
    return config;
  }

  private static JsonObject settings(int proxies, int zones, double price) {
    JsonObject settings = JsonParser.parseString("""
        {"discovery":"automatic","zone":0,"skus":["cache","origin"],"weight-source":"nominal",
         "family-info":{"mode":"aside","origin-kind":1},
         "policy-limits":{"max-attempts":3,"probes":false,"retry-after":true,"max-retry-after-ms":700,
                          "connect-timeout-ms":1000,"conn-idle-ms":60000},
         "rules":{"drain-grace-ms":1000,"fall-multiple":3,"tip-after-ms":2000,"cold-from":0.14,
                  "cold-ms":20000},
         "lanes":[{"name":"read","idempotency":"safe","target-ms":500,"hard-limit-ms":1000}],
         "accounts":[{"name":"acme","quota-per-s":2600000}]}""").getAsJsonObject();
    settings.addProperty("siblings", proxies);
    JsonArray names = new JsonArray();
    for (int i = 0; i < zones; i++) {
      names.add("z" + i);
    }
    settings.add("localities", names);
    JsonObject prices = new JsonObject();
    prices.addProperty("connection", price);
    prices.addProperty("handshake", price);
    prices.addProperty("cross-zone", price);
    settings.add("prices", prices);
    return settings;
  }
}
