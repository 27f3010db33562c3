package beampoint.serve;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.BanChanged;
import beampoint.Balancer.Event;
import beampoint.Balancer.GiveUpReason;
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
import beampoint.exchange.AttemptReport;
import beampoint.exchange.Exchange;
import beampoint.exchange.RequestHandler;
import beampoint.handover.UsedRequestIds;
import beampoint.log.Log;
import beampoint.memcache.Command;
import beampoint.upstream.AttemptListener;
import beampoint.upstream.Upstreams;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.IntStream;

/**
 * Passes events to the decision module, the {@link Balancer}, and carries out the actions that it returns,
 * for all open requests. All decisions (endpoint, retry, refusal) are made by the module. Confined to the
 * decision thread.
 */
final class Decisions implements RequestHandler, AttemptListener {

  private static final Log LOG = Log.of("serve");
  /** How long the module may take to answer after a deadline or an event. */
  private static final double ANSWER_GRACE_MS = 15;

  private static final Map<GiveUpReason, Counter> GIVE_UP_COUNTERS = new EnumMap<>(GiveUpReason.class);

  static {
    for (GiveUpReason reason : GiveUpReason.values()) {
      GIVE_UP_COUNTERS.put(reason, Counter.valueOf("GIVEN_UP_" + reason));
    }
  }

  private final Balancer balancer;
  private final NameIndex names;
  private final Counters counters;
  private final Clock clock;
  private final EventLoop loop;
  private final BooleanSupplier ready;
  private final Predicate<String> isBanned; // by operators
  private Settings settings; // in force; open requests may have been accepted under earlier ones
  private Upstreams upstreams;
  private HostListWatcher watcher;
  private final Map<Long, Exchange> exchanges = new HashMap<>(); // open, or with an attempt in flight
  private final RequestIds ids;
  private long lastId;
  private double attemptDeadline = Double.POSITIVE_INFINITY; // in ms on the proxy's clock
  private final InitialListGate initialListGate;
  private final RequestLog requestLog;

  Decisions(Balancer balancer, Settings settings, NameIndex names, Counters counters, Clock clock,
      EventLoop loop, BooleanSupplier ready, Predicate<String> isBanned, UsedRequestIds usedIds) {
    this.ids = new RequestIds(usedIds, counters);
    this.balancer = balancer;
    this.settings = settings;
    this.names = names;
    this.counters = counters;
    this.clock = clock;
    this.loop = loop;
    this.ready = ready;
    this.isBanned = isBanned;
    this.initialListGate = new InitialListGate(loop);
    this.requestLog = new RequestLog(clock);
  }

  /** Sets the components that carry out the actions; called before the first event. */
  void connect(Upstreams newUpstreams, HostListWatcher newWatcher) {
    upstreams = newUpstreams;
    watcher = newWatcher;
  }

  Settings settings() {
    return settings;
  }

  /** Uses other settings from now on. */
  void setSettings(Settings next) {
    settings = next;
  }

  /** Sets the number of proxies that share the load, as currently known. */
  void setSiblings(int number) {
    if (number != settings.siblings()) {
      LOG.info("the load is shared among " + number + " proxies");
      settings = settings.withSiblings(number);
      dispatch(new SettingsChanged(settings, unchangedIndices(settings.classes()),
          unchangedIndices(settings.tenants())));
    }
  }

  /** The former index of each entry of a list in which none has moved. */
  private static List<Integer> unchangedIndices(List<?> list) {
    return IntStream.range(0, list.size()).boxed().toList();
  }

  /** The longest deadline of all request classes, as a duration after the arrival, in ms. */
  static double longestWaitMs(Settings settings) {
    return settings.classes().stream().mapToDouble(RequestClass::deadline).max().orElse(0);
  }

  @Override
  public boolean isReady() {
    return ready.getAsBoolean();
  }

  /** Rejects an id that another open request uses as well, because answers name their request by its id. */
  @Override
  public String rejectionReason(Command command) {
    return names.requestClass(command) < 0 ? "unknown class"
        : !names.knowsTenant(command) ? "unknown tenant"
        : ids.isOpen(command) ? "id in use" : null;
  }

  @Override
  public Exchange accept(Command command, double arrivedAt, BooleanSupplier clientGone,
      Consumer<Answer> onAnswer) {
    Exchange exchange = open(command, arrivedAt + command.waitMs(), clientGone, onAnswer);
    double deadline = exchange.deadline();
    // Queued, because the request must have its place in the order of answers before the module can answer.
    loop.execute(() -> {
      scheduleOverdueCheck(deadline + ANSWER_GRACE_MS - clock.getAsDouble(), exchange, deadline);
      // Waits for the first list for at most half of the time that is left until the deadline: the later a
      // refusal comes, the more of this time its client has lost.
      initialListGate.runWhenOpen((deadline - clock.getAsDouble()) / 2, () -> begin(exchange));
    });
    return exchange;
  }

  @Override
  public Answer refuse(Command command) {
    AtomicReference<Answer> answer = new AtomicReference<>();
    Exchange exchange = open(command, clock.getAsDouble() + command.waitMs(), () -> false, answer::set);
    submit(exchange, true);
    if (!exchange.isOver()) {
      close(exchange, Answer.FAILED);
      dispatch(new RequestGone(exchange.id()));
    }
    return answer.get();
  }

  private Exchange open(Command command, double deadline, BooleanSupplier clientGone,
      Consumer<Answer> onAnswer) {
    Exchange exchange = new Exchange(++lastId, command, deadline, settings.limits().maxAttempts(),
        clientGone, onAnswer, counters);
    counters.add(Counter.REQUESTS_TAKEN);
    exchanges.put(exchange.id(), exchange);
    ids.opened(command);
    return exchange;
  }

  private void begin(Exchange exchange) {
    if (exchange.isClientWaiting()) { // otherwise the module would receive RequestGone before RequestReceived
      submit(exchange, false);
    }
  }

  /**
   * Passes a request to the module. Only here its class is looked up: settings that were applied since the
   * request was accepted may number the classes in another way. If they have dropped its class, it is failed,
   * and so is one that may run only once and whose id was used before.
   *
   * @param overflow true if the request can't be queued, so that the module may only refuse or fail it
   */
  private void submit(Exchange exchange, boolean overflow) {
    Command command = exchange.command();
    int requestClass = names.requestClass(command);
    if (requestClass < 0 || !overflow && !ids.claim(exchange, settings.classes().get(requestClass))) {
      close(exchange, Answer.FAILED);
      return;
    }
    exchange.setLastEventAt(clock.getAsDouble());
    dispatch(new RequestReceived(exchange.id(), Math.min(exchange.deadline(), attemptDeadline),
        names.tenant(command), requestClass, NameIndex.key(command.key()),
        command.kind() == Command.Kind.WRITE, command.isRetry(), overflow));
  }

  /** A call to discovery has been answered or has failed: requests no longer wait for the first list. */
  void discoveryContacted() {
    initialListGate.open();
  }

  /**
   * Fails a request after a delay in ms, unless it has been answered by then. Allows more time if attempts
   * are in flight, or the module has received an event for it at or after {@code since}.
   */
  private void scheduleOverdueCheck(double delay, Exchange exchange, double since) {
    long id = exchange.id(); // the timer may outlive the exchange and must not keep it reachable
    int extensions = exchange.maxAttempts() + 1;
    loop.after(delay, () -> checkOverdue(id, since, extensions));
  }

  /**
   * Fails a request that the module has left unanswered past its deadline, so that every accepted request is
   * answered. The module may still answer on events that it receives after the deadline: timers, and attempts
   * that end. If this thread ran late, those events are queued behind this timer, and the request would be
   * failed although the module is about to answer it. So the check is repeated, up to {@code maxAttempts + 1}
   * times and {@link #ANSWER_GRACE_MS} apart, while an attempt is in flight or the module has received an
   * event since the last check.
   *
   * @param since the time of the last check, or the deadline
   * @param extensions how many more times the check may be repeated
   */
  private void checkOverdue(long id, double since, int extensions) {
    Exchange exchange = exchanges.get(id);
    if (exchange == null || exchange.isOver()) {
      return;
    }
    double now = clock.getAsDouble();
    boolean mayBeAnswered = exchange.attemptsInFlight() > 0 || exchange.lastEventAt() >= since;
    if (mayBeAnswered && extensions > 0) {
      loop.after(ANSWER_GRACE_MS, () -> checkOverdue(id, now, extensions - 1));
      return;
    }
    counters.add(Counter.ANSWERS_OVERDUE);
    LOG.error("no answer in time for request " + id + ": " + Math.round(now - exchange.deadline())
        + " ms past its deadline, " + exchange.attemptsInFlight() + " attempts in flight, last module event "
        + Math.round(now - exchange.lastEventAt()) + " ms ago");
    close(exchange, Answer.FAILED);
    dispatch(new RequestGone(id));
  }

  @Override
  public void clientGone(Exchange exchange) {
    if (exchange.abandon()) {
      counters.add(Counter.REQUESTS_GONE);
      releaseIfDone(exchange);
      dispatch(new RequestGone(exchange.id()));
      upstreams.abandon(exchange.id());
    }
  }

  @Override
  public void attemptEnded(AttemptReport report) {
    Exchange exchange = report.exchange();
    exchange.endAttempt(report);
    exchange.setLastEventAt(clock.getAsDouble());
    if (report.answer() != null) {
      close(exchange, report.answer());
    }
    releaseIfDone(exchange);
    dispatch(new AttemptEnded(exchange.id(), report.attempt(), report.endpoint(), report.elapsedMs(),
        report.result(), exchange.isOver(), names.settings().loadColumns().parseNamed(report.loadReport())));
  }

  @Override
  public void probeEnded(String endpoint, double elapsed, Result result) {
    dispatch(new ProbeEnded(endpoint, result, elapsed));
  }

  /** Passes an event to the decision module and carries out the actions that it returns. */
  void dispatch(Event event) {
    if (event instanceof BanChanged e && e.out()) {
      // Requests that wait for a connection to this node are failed: the connection may be established only
      // after the grace period.
      upstreams.drain(e.endpoint());
    }
    List<Action> actions;
    try {
      actions = balancer.handle(clock.getAsDouble(), event);
    } catch (RuntimeException e) {
      // An exception in the module fails only the request that the event belongs to, not the proxy.
      counters.add(Counter.LOGIC_EXCEPTIONS);
      LOG.error("the decision module failed for " + event, e);
      failRequestOf(event);
      return;
    }
    actions.forEach(this::carryOut);
  }

  /** Fails the request that an event belongs to, if there is one. */
  private void failRequestOf(Event event) {
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
      giveUp(exchanges.get(a.id()), Answer.refused((long) Math.ceil(a.retryAfter())), a.reason());
    } else if (action instanceof Balancer.Fail a) {
      giveUp(exchanges.get(a.id()), Answer.FAILED, a.reason());
    } else if (action instanceof Balancer.Cancel a) {
      upstreams.cancel(a.id(), a.attempt());
    } else if (action instanceof Balancer.SetTimer a) {
      loop.after(a.delay(), () -> dispatch(new TimerFired(a.token())));
    } else if (action instanceof Balancer.Probe a) {
      checkNotBanned(a.endpoint());
      upstreams.probe(a.endpoint());
    } else if (action instanceof Balancer.CloseIdle a) {
      upstreams.closeIdle(a.endpoint());
    } else if (action instanceof Balancer.SubscribeToList) {
      watcher.openWatch();
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
    double endBy = Math.min(exchange.deadline(), attemptDeadline);
    counters.check(settings.limits().hedgedRequests() || exchange.attemptsInFlight() == 0,
        "only one attempt is in flight at a time");
    checkNotBanned(a.endpoint());
    int attempt = exchange.beginAttempt();
    if (!exchange.isClientWaiting()) {
      clientGone(exchange);
    }
    if (exchange.isOver() || now >= endBy || attempt >= exchange.maxAttempts()) {
      loop.execute(() -> attemptEnded(AttemptReport.notSent(exchange, attempt, a.endpoint())));
    } else {
      upstreams.send(exchange, attempt, a.endpoint(),
          a.timeout() > 0 ? Math.min(endBy, now + a.timeout()) : endBy, endBy, a.arriveBy());
    }
  }

  private void checkNotBanned(String endpoint) {
    counters.check(!isBanned.test(endpoint), "no request or probe is sent to a banned node");
  }

  /** Carries out the module's decision to refuse or fail a request. */
  private void giveUp(Exchange exchange, Answer answer, GiveUpReason reason) {
    if (exchange != null && !exchange.isOver()) {
      counters.add(GIVE_UP_COUNTERS.get(reason));
      requestLog.givenUp(exchange, answer == Answer.FAILED ? "failed" : "refused", reason);
      close(exchange, answer);
    }
  }

  private void close(Exchange exchange, Answer answer) {
    if (exchange != null && exchange.answer(answer)) {
      releaseIfDone(exchange);
    }
  }

  /** Releases an exchange once it is over and has no attempt in flight. */
  private void releaseIfDone(Exchange exchange) {
    if (exchange.isOver() && exchange.attemptsInFlight() == 0) {
      exchange.command().release();
      exchanges.remove(exchange.id());
      ids.closed(exchange);
    }
  }

  /**
   * Sets the time by which all attempts end, in ms on the proxy's clock, so that no request is still open at
   * a SIGKILL.
   */
  void setAttemptDeadline(double time) {
    attemptDeadline = time;
  }

  /** Ends all attempts. The module then answers the open requests; any that it leaves open are failed. */
  void expireAll() {
    for (Exchange exchange : List.copyOf(exchanges.values())) {
      if (!exchange.isOver()) {
        upstreams.expire(exchange.id());
        scheduleOverdueCheck(ANSWER_GRACE_MS, exchange, clock.getAsDouble());
      }
    }
  }
}
