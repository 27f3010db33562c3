package beampoint.benchmark;

import beampoint.Balancer;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.Limits;
import beampoint.Balancer.Prices;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.Rules;
import beampoint.Balancer.Settings;
import beampoint.Balancer.Tenant;
import beampoint.Balancer.WeightSource;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.simple.RandomSource;

/** The load of one proxy at the fleet size of docs/CAPACITY.md: settings, endpoints and keys. */
public final class Workload {

  /** Mean requests per second of a proxy at the peak. */
  public static final double REQUESTS_PER_SECOND = 1_130;
  /** Requests per second of the whole fleet at the peak. */
  public static final double FLEET_REQUESTS_PER_SECOND = 2.6e6;
  /** Objects that the fleet serves. */
  public static final int OBJECTS = 200_000_000;

  private static final int ZONES = 31;
  private static final int TENANTS = 10; // an assumption, not specified
  private static final int ORIGIN_KIND = 1;
  private static final double ZIPF_EXPONENT = 0.9; // an assumption
  private static final long SEED = 1;

  private Workload() {}

  /** Settings for a fleet of {@code proxies}; connections, handshakes and crossing zones have one price. */
  public static Settings settings(int proxies, double price) {
    RequestClass read = new RequestClass(Idempotency.SAFE, DedupGroup.ALL, 0, 500, 1_000, 1, 0);
    List<Tenant> tenants = Collections.nCopies(TENANTS, new Tenant(FLEET_REQUESTS_PER_SECOND / TENANTS));
    return new Settings(SEED, proxies, 0, true, WeightSource.NOMINAL, ORIGIN_KIND, 0.05,
        new Limits(3, false, false, true, 400, 1_000), new Rules(1_000, 3, 2_000, 0.14, 20_000, 10_000),
        new Prices(price, price, 0.05, price), List.of(read), tenants);
  }

  /** The endpoints: {@code caches} cache nodes and the origin. */
  public static List<Endpoint> endpoints(int caches) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < caches; i++) {
      endpoints.add(cache(i, EndpointState.RUNNING));
    }
    endpoints.add(new Endpoint("origin", 0, ORIGIN_KIND, 0, EndpointState.RUNNING, 1, 0));
    return endpoints;
  }

  /** The endpoint of one cache node. */
  public static Endpoint cache(int number, EndpointState state) {
    return new Endpoint("cache-" + number, number % ZONES, 0, number / ZONES, state, 1, 0);
  }

  /** Keys drawn from all objects with a Zipf distribution. */
  public static long[] keys(int count) {
    var sampler = RejectionInversionZipfSampler.of(RandomSource.XO_SHI_RO_256_PP.create(SEED), OBJECTS,
        ZIPF_EXPONENT);
    long[] keys = new long[count];
    for (int i = 0; i < count; i++) {
      keys[i] = sampler.sample();
    }
    return keys;
  }

  /** The endpoint of the first attempt in a list of actions, or null. */
  public static String sentTo(List<Balancer.Action> actions) {
    for (Balancer.Action action : actions) {
      if (action instanceof Balancer.Send send) {
        return send.endpoint();
      }
    }
    return null;
  }

  /** A host list of {@code caches} cache nodes and the origin in the discovery format, all at one address. */
  public static JsonObject hostList(int caches, int zones, String dial) {
    JsonArray hosts = new JsonArray();
    for (int i = 0; i <= caches; i++) {
      JsonObject host = new JsonObject();
      host.addProperty("host", i == caches ? "origin" : "cache-" + i);
      host.addProperty("dial", dial);
      host.addProperty("site", "z" + i % zones);
      host.addProperty("class", i == caches ? "origin" : "cache");
      host.addProperty("block", i / zones);
      host.addProperty("health", "Ready");
      host.addProperty("share", 1.0);
      host.addProperty("born_ms", 0);
      hosts.add(host);
    }
    JsonObject list = new JsonObject();
    list.addProperty("seq", 1);
    list.addProperty("whole", true);
    list.add("hosts", hosts);
    return list;
  }
}
