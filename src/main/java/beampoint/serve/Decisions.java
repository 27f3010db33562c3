package beampoint.serve;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.BanChanged;
import beampoint.Balancer.Event;
import beampoint.Balancer.ProbeEnded;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Settings;
import beampoint.Balancer.SettingsChanged;
import beampoint.Balancer.TimerFired;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.discovery.HostListWatcher;
import beampoint.exchange.Answer;
import beampoint.exchange.Exchange;
import beampoint.exchange.Intake;
import beampoint.log.Log;
import beampoint.memcache.Command;
import beampoint.upstream.Reports;
import beampoint.upstream.Upstreams;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Tells the decision module what happens and carries out what it decides, for every request that is open. It
 * picks, repeats and refuses nothing itself. Belongs to the decision thread.
 */
final class Decisions implements Intake, Reports {

  private static final Log LOG = Log.of("serve");
  private static final double LATE_MS = 15; // that the module has to answer what it was told of

  private final Balancer balancer;
  private final Directory directory;
  private final Counters counters;
  private final Clock clock;
  private final Loop loop;
  private final BooleanSupplier ready;
  private final Predicate<String> isOut; // by operators
  private Settings settings; // in force; open requests may have been taken under others
  private Upstreams upstreams;
  private HostListWatcher watch;
  private final Map<Long, Exchange> exchanges = new HashMap<>(); // open, or with an attempt out
  private final Set<String> idsInUse = new HashSet<>(); // of these, as the clients word them
  private long lastId;
  private double endsBy = Double.POSITIVE_INFINITY;
  private final FirstList firstList;

  Decisions(Balancer balancer, Settings settings, Directory directory, Counters counters, Clock clock,
      Loop loop, BooleanSupplier ready, Predicate<String> isOut) {
    this.balancer = balancer;
    this.settings = settings;
    this.directory = directory;
    this.counters = counters;
    this.clock = clock;
    this.loop = loop;
    this.ready = ready;
    this.isOut = isOut;
    this.firstList = new FirstList(loop);
  }

  /** Takes what carries out the decisions; before the first event. */
  void carryOutWith(Upstreams attempts, HostListWatcher list) {
    upstreams = attempts;
    watch = list;
  }

  Settings settings() {
    return settings;
  }

  /** New settings are in force from here on. */
  void settings(Settings next) {
    settings = next;
  }

  /** Among how many proxies the load is shared, as far as it is known. */
  void siblings(int number) {
    if (number != settings.siblings()) {
      LOG.info("the load is shared among " + number + " proxies");
      settings = settings.withSiblings(number);
      give(new SettingsChanged(settings, places(settings.classes()), places(settings.tenants())));
    }
  }

  /** All stay where they are. */
  private static List<Integer> places(List<?> of) {
    return IntStream.range(0, of.size()).boxed().toList();
  }

  static double longestDeadline(Settings settings) {
    return settings.classes().stream().mapToDouble(RequestClass::deadline).max().orElse(0);
  }

  @Override
  public boolean isReady() {
    return ready.getAsBoolean();
  }

  /** Guards against an id that stands for two requests at once: an answer names its request by it. */
  @Override
  public String problem(Command command) {
    return directory.requestClass(command) < 0 ? "unknown class"
        : !directory.knowsTenant(command) ? "unknown tenant"
        : idsInUse.contains(id(command)) ? "id in use" : null;
  }

  private static String id(Command command) {
    return command.id().toStringContent(StandardCharsets.ISO_8859_1);
  }

  @Override
  public Exchange take(Command command, double readAt, BooleanSupplier left, Consumer<Answer> client) {
    int requestClass = directory.requestClass(command);
    Exchange exchange = open(command, readAt + command.waitMs(), left, client);
    double notAfter = exchange.notAfter();
    // Queued, as its place in the order of answers must stand before the module may answer.
    loop.execute(() -> {
      failLateAfter(notAfter + LATE_MS - clock.getAsDouble(), exchange, notAfter);
      // By half of its time it is decided in any case: what is refused later than that costs its client more.
      firstList.whenKnown((notAfter - clock.getAsDouble()) / 2, () -> begin(exchange, requestClass));
    });
    return exchange;
  }

  @Override
  public Answer refuse(Command command) {
    AtomicReference<Answer> answer = new AtomicReference<>();
    Exchange exchange = open(command, clock.getAsDouble() + command.waitMs(), () -> false, answer::set);
    tell(exchange, directory.requestClass(command), true);
    if (!exchange.isOver()) {
      close(exchange, Answer.FAILED);
      give(new RequestGone(exchange.id()));
    }
    return answer.get();
  }

  private Exchange open(Command command, double notAfter, BooleanSupplier left, Consumer<Answer> client) {
    Exchange exchange = new Exchange(++lastId, command, notAfter, settings.limits().maxAttempts(), left,
        client, counters);
    counters.add(Counter.REQUESTS_TAKEN);
    exchanges.put(exchange.id(), exchange);
    idsInUse.add(id(command));
    return exchange;
  }

  private void begin(Exchange exchange, int requestClass) {
    if (exchange.isWanted()) { // else the module would hear of its leaving first, and of it after that
      tell(exchange, requestClass, false);
    }
  }

  private void tell(Exchange exchange, int requestClass, boolean overflow) {
    Command command = exchange.command();
    exchange.told(clock.getAsDouble());
    give(new RequestReceived(exchange.id(), Math.min(exchange.notAfter(), endsBy), directory.tenant(command),
        requestClass, Directory.key(command.key()), command.kind() == Command.Kind.WRITE, command.again(),
        overflow));
  }

  /** Discovery was heard, or can't be for now: requests wait for its first list no longer. */
  void heardDiscovery() {
    firstList.known();
  }

  /** Has the last word on a request after so many ms, unless the module was told of it since a time. */
  private void failLateAfter(double delay, Exchange exchange, double since) {
    long id = exchange.id(); // the timer outlasts the exchange and must not keep it
    int extensions = exchange.maxAttempts() + 1;
    loop.after(delay, () -> failLate(id, since, extensions));
  }

  /**
   * Guards against a request that the module forgot: whatever was taken is answered. What the module is told
   * once a request's time is over it may answer, by the timers and the ends of attempts that follow. Where
   * this thread was late these stand behind this timer: without the extensions a request would be failed that
   * the module has yet to answer.
   */
  private void failLate(long id, double since, int extensions) {
    Exchange exchange = exchanges.get(id);
    if (exchange == null || exchange.isOver()) {
      return;
    }
    double now = clock.getAsDouble();
    boolean isToldMore = exchange.attemptsOut() > 0 || exchange.toldAt() >= since;
    if (isToldMore && extensions > 0) {
      loop.after(LATE_MS, () -> failLate(id, now, extensions - 1));
      return;
    }
    counters.add(Counter.ANSWERS_OVERDUE);
    LOG.error("no answer in time for request " + id + ": " + Math.round(now - exchange.notAfter())
        + " ms over its time, " + exchange.attemptsOut() + " attempts out, the module was told "
        + Math.round(now - exchange.toldAt()) + " ms ago");
    close(exchange, Answer.FAILED);
    give(new RequestGone(id));
  }

  @Override
  public void gone(Exchange exchange) {
    if (exchange.abandon()) {
      counters.add(Counter.REQUESTS_GONE);
      forget(exchange);
      give(new RequestGone(exchange.id()));
      upstreams.abandon(exchange.id());
    }
  }

  @Override
  public void ended(Exchange exchange, int attempt, String endpoint, double elapsed, Result result,
      Answer answer, String load) {
    exchange.endAttempt();
    exchange.told(clock.getAsDouble());
    if (answer != null) {
      close(exchange, answer);
    }
    forget(exchange);
    give(new AttemptEnded(exchange.id(), attempt, endpoint, elapsed, result, exchange.isOver(),
        directory.names().loads().parseNamed(load)));
  }

  @Override
  public void probed(String endpoint, double elapsed, Result result) {
    give(new ProbeEnded(endpoint, result, elapsed));
  }

  /** Tells the module, and does what it says. */
  void give(Event event) {
    if (event instanceof BanChanged e && e.out()) {
      upstreams.drain(e.endpoint()); // a connection may come up after the grace
    }
    List<Action> actions;
    try {
      actions = balancer.handle(clock.getAsDouble(), event);
    } catch (RuntimeException e) {
      // Guards against a fault in the module: it costs the request at hand, not the proxy.
      counters.add(Counter.LOGIC_EXCEPTIONS);
      LOG.error("the decision module failed for " + event, e);
      fail(event);
      return;
    }
    actions.forEach(this::carryOut);
  }

  private void fail(Event event) {
    long id = event instanceof RequestReceived e ? e.id() : event instanceof AttemptEnded e ? e.id()
        : event instanceof TimerFired e ? e.token() : 0;
    Exchange exchange = exchanges.get(id);
    if (exchange != null) {
      close(exchange, Answer.FAILED);
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Balancer.Send a) {
      send(a);
    } else if (action instanceof Balancer.Refuse a) {
      close(exchanges.get(a.id()), Answer.refused((long) Math.ceil(a.retryAfter())));
    } else if (action instanceof Balancer.Fail a) {
      close(exchanges.get(a.id()), Answer.FAILED);
    } else if (action instanceof Balancer.Cancel a) {
      upstreams.cancel(a.id(), a.attempt());
    } else if (action instanceof Balancer.SetTimer a) {
      loop.after(a.delay(), () -> give(new TimerFired(a.token())));
    } else if (action instanceof Balancer.Probe a) {
      checkInUse(a.endpoint());
      upstreams.probe(a.endpoint());
    } else if (action instanceof Balancer.CloseIdle a) {
      upstreams.closeIdle(a.endpoint());
    } else if (action instanceof Balancer.FollowList) {
      watch.follow();
    } else if (action instanceof Balancer.Log a) {
      LOG.info(a.text());
    }
  }

  private void send(Balancer.Send a) {
    Exchange exchange = exchanges.get(a.id());
    if (exchange == null) {
      return;
    }
    double now = clock.getAsDouble();
    double last = Math.min(exchange.notAfter(), endsBy);
    counters.check(settings.limits().secondCopies() || exchange.attemptsOut() == 0,
        "one attempt is out at a time");
    checkInUse(a.endpoint());
    int attempt = exchange.beginAttempt();
    if (!exchange.isWanted()) {
      gone(exchange);
    }
    if (exchange.isOver() || now >= last || attempt >= exchange.maxAttempts()) {
      loop.execute(() -> ended(exchange, attempt, a.endpoint(), 0, Result.NOT_SENT, null, null));
    } else {
      upstreams.send(exchange, attempt, a.endpoint(), a.limit() > 0 ? Math.min(last, now + a.limit()) : last,
          a.startBy());
    }
  }

  private void checkInUse(String endpoint) {
    counters.check(!isOut.test(endpoint), "nothing goes to a node that is out");
  }

  private void close(Exchange exchange, Answer answer) {
    if (exchange != null && exchange.answer(answer)) {
      forget(exchange);
    }
  }

  private void forget(Exchange exchange) {
    if (exchange.isOver() && exchange.attemptsOut() == 0) {
      exchange.command().release();
      exchanges.remove(exchange.id());
      idsInUse.remove(id(exchange.command()));
    }
  }

  /** Guards against a SIGKILL with requests still open: no attempt lasts beyond this. */
  void endBy(double time) {
    endsBy = time;
  }

  /** Ends all attempts: the module answers what is open, or else it is failed. */
  void expireAll() {
    for (Exchange exchange : List.copyOf(exchanges.values())) {
      if (!exchange.isOver()) {
        upstreams.expire(exchange.id());
        failLateAfter(LATE_MS, exchange, clock.getAsDouble());
      }
    }
  }
}
