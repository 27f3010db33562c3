package beampoint.serve;

import beampoint.Balancer;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Event;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Balancer.Settings;
import beampoint.buffer.Budget;
import beampoint.count.Counters;
import beampoint.exchange.AttemptReport;
import beampoint.upstream.AttemptListener;
import beampoint.upstream.Upstreams;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Exercises the code paths of requests before the proxy reports that it is ready, so that the first answers
 * are not delayed by class loading. A temporary instance of the decision module handles synthetic events, and
 * the proxy sends probes to itself over a socket: to the address for clients or, if another process may
 * listen there too, to the address for operators. The warm-up must be short: if most proxies restart at the
 * same time, few or none serve until it ends.
 */
final class WarmUp implements AttemptListener {

  private static final String SELF = "self";
  private static final int REQUESTS = 50;
  private static final int PROBES = 20;
  private static final double MAX_MS = 1500;

  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Upstreams upstreams;
  private final Runnable done;
  private double endsAt;
  private int probes;

  WarmUp(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock, Runnable done) {
    this.loop = loop;
    this.clock = clock;
    this.done = done;
    this.upstreams = new Upstreams(transport, loop, clock, this, new Counters(), new Budget(0), MAX_MS,
        MAX_MS);
  }

  /**
   * Starts the warm-up. Exercises the decision module before it returns; the probes run afterwards.
   *
   * @param self the address to probe
   * @param http whether that address speaks HTTP
   */
  void start(Balancer module, Settings settings, ListReceived known, InetSocketAddress self, boolean http) {
    endsAt = clock.getAsDouble() + MAX_MS;
    exerciseModule(module, settings, known);
    upstreams.putEndpoint(SELF, self, http, 0);
    upstreams.probe(SELF);
  }

  private void exerciseModule(Balancer module, Settings settings, ListReceived known) {
    double now = clock.getAsDouble();
    module.handle(now, new ListReceived(ListKind.FULL, known.endpoints()));
    int classes = settings.classes().size();
    for (int id = 1; id <= REQUESTS && classes > 0 && clock.getAsDouble() < endsAt; id++) {
      RequestClass type = settings.classes().get(id % classes);
      Event event = new RequestReceived(id, ++now + type.deadline(), 0, id % classes, id, id % 50 == 0);
      for (int attempt = 0; event != null; attempt++) {
        Event next = null;
        for (Balancer.Action action : module.handle(++now, event)) {
          if (action instanceof Send send) {
            Result result = attempt == 0 && id % 4 == 0 ? Result.MISS : Result.OK;
            next = new AttemptEnded(id, attempt, send.endpoint(), 1, result, result == Result.OK);
          }
        }
        event = next;
      }
    }
  }

  @Override
  public void probeEnded(String endpoint, double elapsed, Result result) {
    if (++probes < PROBES && clock.getAsDouble() < endsAt) {
      upstreams.probe(SELF);
    } else {
      upstreams.close();
      loop.execute(done);
    }
  }

  @Override
  public void attemptEnded(AttemptReport report) {
    throw new IllegalStateException("the warm-up makes no attempts, but one ended");
  }
}
