package beampoint.benchmark;

import beampoint.Balancer;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.policy.BalancerPolicy;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/** The time of the decision module per event, with JVM flags of {@code deploy/balancer.toml}. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 500, timeUnit = TimeUnit.MILLISECONDS)
@Measurement(iterations = 8, time = 300, timeUnit = TimeUnit.MILLISECONDS)
@Fork(value = 1, jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms52m", "-Xmx52m", "-Xss256k"})
public class DecisionBenchmark {

  private static final int KEYS = 1 << 16;
  private static final int WARM_UP_REQUESTS = 20_000;
  private static final double ANSWER_MS = 5;
  private static final double REQUEST_INTERVAL_MS = 1_000 / Workload.REQUESTS_PER_SECOND;

  @Param({"14", "60", "200", "610"})
  public int endpoints;

  @Param({"14", "100", "400", "2300"})
  public int proxies;

  @Param({"0", "0.03"})
  public double price;

  private Balancer balancer;
  private List<Endpoint> endpointList;
  private final long[] keys = Workload.keys(KEYS);
  private double now;
  private long lastId;
  private boolean drains;

  /** Creates the module and warms it up with requests. */
  @Setup
  public void setUp() {
    balancer = new BalancerPolicy(Workload.settings(proxies, price));
    endpointList = Workload.endpoints(endpoints);
    now = 1_000_000;
    balancer.handle(now, new ListReceived(ListKind.FULL, endpointList));
    for (int i = 0; i < WARM_UP_REQUESTS; i++) {
      request();
    }
  }

  /** A request that its cache answers: two events. */
  @Benchmark
  public Object request() {
    now += REQUEST_INTERVAL_MS;
    long id = ++lastId;
    long key = keys[(int) (id % KEYS)];
    int tenant = (int) (id % 10);
    var received = new RequestReceived(id, now + 1_000, tenant, 0, key, false);
    String endpoint = Workload.sentTo(balancer.handle(now, received));
    return endpoint == null ? null
        : balancer.handle(now, new AttemptEnded(id, 0, endpoint, ANSWER_MS, Result.OK, true));
  }

  /** A list change in which one cache node starts or stops draining. */
  @Benchmark
  public Object changeOfOne() {
    now += REQUEST_INTERVAL_MS;
    drains = !drains;
    EndpointState state = drains ? EndpointState.DRAINING : EndpointState.RUNNING;
    return balancer.handle(now, new ListReceived(ListKind.CHANGES, List.of(Workload.cache(3, state))));
  }

  /** A full list without any change. */
  @Benchmark
  public Object wholeList() {
    now += REQUEST_INTERVAL_MS;
    return balancer.handle(now, new ListReceived(ListKind.FULL, endpointList));
  }
}
