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
import beampoint.exchange.Answer;
import beampoint.exchange.Exchange;
import beampoint.upstream.AttemptListener;
import beampoint.upstream.Upstreams;
import java.net.InetSocketAddress;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Runs the program's paths before it says that it is ready. Guards against first answers that wait for
 * classes to be loaded: an instance of the module that is thrown away decides on made-up events, and the
 * proxy asks itself over a socket, at the clients' address or, where another process may listen there too, at
 * that of the operators. It is short on purpose: where most proxies restart at once, nobody serves while they
 * warm up.
 */
final class WarmUp implements AttemptListener {

  private static final String SELF = "self";
  private static final int EVENTS = 50;
  private static final int QUESTIONS = 20;
  private static final double MAX_MS = 1500;

  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Upstreams upstreams;
  private final Runnable done;
  private double endsAt;
  private int asked;

  WarmUp(TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock, Runnable done) {
    this.loop = loop;
    this.clock = clock;
    this.done = done;
    this.upstreams = new Upstreams(transport, loop, clock, this, new Counters(), new Budget(0), MAX_MS,
        MAX_MS);
  }

  /** Begins; the module's part is done at once, the questions to itself come and go on their own. */
  void start(Balancer module, Settings settings, ListReceived known, InetSocketAddress self, boolean http) {
    endsAt = clock.getAsDouble() + MAX_MS;
    rehearse(module, settings, known);
    upstreams.putEndpoint(SELF, self, http, 0);
    upstreams.probe(SELF);
  }

  private void rehearse(Balancer module, Settings settings, ListReceived known) {
    double now = clock.getAsDouble();
    module.handle(now, new ListReceived(ListKind.FULL, known.endpoints()));
    int classes = settings.classes().size();
    for (int id = 1; id <= EVENTS && classes > 0 && clock.getAsDouble() < endsAt; id++) {
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
    if (++asked < QUESTIONS && clock.getAsDouble() < endsAt) {
      upstreams.probe(SELF);
    } else {
      upstreams.close();
      loop.execute(done);
    }
  }

  @Override
  public void attemptEnded(Exchange exchange, int attempt, String endpoint, double elapsed, Result result,
      Answer answer, String load) {
    throw new IllegalStateException("no attempt is made here");
  }
}
