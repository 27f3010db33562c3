package beampoint.serve;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Event;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.ProbeEnded;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Settings;
import beampoint.Balancer.TimerFired;
import beampoint.buffer.Budget;
import beampoint.client.Sessions;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.discovery.HostList;
import beampoint.discovery.HostList.Host;
import beampoint.discovery.Watch;
import beampoint.exchange.Answer;
import beampoint.exchange.Exchange;
import beampoint.exchange.Intake;
import beampoint.log.Log;
import beampoint.memcache.Command;
import beampoint.ops.Calls;
import beampoint.settings.Transition;
import beampoint.settings.Transition.Terms;
import beampoint.upstream.Reports;
import beampoint.upstream.Upstreams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * One proxy: tells the decision module what happens on the sockets and carries out what it decides. It picks,
 * repeats and refuses nothing itself.
 */
public final class Proxy implements Intake, Reports {

  private static final Log LOG = Log.of("serve");
  private static final int RESERVED_DESCRIPTORS = 32; // for the machine, discovery and standard streams
  private static final int OPS_DESCRIPTORS = Calls.MOST + 4; // for operators, and the files that are shared
  private static final long POLL_MS = 100; // for what the other process of this proxy has stored
  private static final double HEARD_MS = 1500; // that a new process waits for discovery before it listens
  private static final int CLIENT_SHARE = 4; // of all descriptors; clients may hold a third
  private static final int READ_BUFFER = 32 * 1024; // at most this is read at once, however much has come
  private static final int BUDGET_SHARE = 8; // of the memory that values may take
  private static final int MIN_DESCRIPTORS = 8; // however little is left beside what is set aside
  private static final double OLD_KIND_MS = 2000; // after new settings, beside a deadline, old requests come
  private static final double LATE_MS = 15; // after which the proxy itself fails what nobody answered
  private static final long FRONT_LEAVES_MS = 450; // after a SIGTERM new clients come for up to 400 ms
  // After that a command that has begun may come to its end: for long where another process serves, shortly
  // where nobody does, or clients that stop half way would hold up the restart.
  private static final double LAST_WORDS_MS = 2000;
  private static final double LAST_WORDS_ALONE_MS = 200;
  private static final double LONGEST_DEADLINE_MS = 3000; // that the platform waits for after a SIGTERM
  private static final double KILL_MS = 700; // after that deadline a SIGKILL may come
  private static final double END_MS = 300; // before it all is answered
  private static final double LAST_WRITES_MS = 100; // until the last answers are written

  private Config config; // belongs to the decision thread
  private final String name;
  private Settings settings; // in force; open requests may have been taken under others
  private final Function<Settings, Balancer> factory;
  private final Balancer balancer;
  private final Counters counters = new Counters();
  private final Clock clock = new Clock();
  private final Loop loop = new Loop();
  private final Directory directory;
  private final TCPNIOTransport transport;
  private final Budget budget;
  private final Upstreams upstreams;
  private final Sessions sessions;
  private final Watch watch;
  private final Map<Long, Exchange> exchanges = new HashMap<>(); // open, or with an attempt out
  private final Set<String> idsInUse = new HashSet<>(); // of these, as the clients word them
  private final CountDownLatch drained = new CountDownLatch(1);
  private long lastId;
  private final Operations operations; // null without an address for operators, as is the next
  private final Calls calls;
  private final Set<String> nodes = new HashSet<>(); // the cache nodes in the list
  private final CompletableFuture<InetSocketAddress> listens = new CompletableFuture<>();
  private boolean listed; // any host at all
  private boolean heard; // discovery, or waited for it long enough
  private volatile boolean warm = true; // code is compiled
  private boolean ending;
  private int reloads;
  private double endsBy = Double.POSITIVE_INFINITY;

  public Proxy(Config config, Function<Settings, Balancer> factory) {
    this(config, factory,
        Path.of(System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))));
  }

  /** The directory is shared with the other process of this proxy, if there is an address for operators. */
  Proxy(Config config, Function<Settings, Balancer> factory, Path directory) {
    this.config = config;
    this.name = config.name();
    this.settings = config.settings();
    this.factory = factory;
    this.balancer = factory.apply(settings);
    this.directory = new Directory(config.socketSettings());
    // One selector, and all filters and decisions on its thread: the proxy has one core, or a part of it.
    this.transport = TCPNIOTransportBuilder.newInstance()
        .setIOStrategy(SameThreadIOStrategy.getInstance())
        .setSelectorRunnersCount(1)
        .setSelectorHandler(loop.selectorHandler())
        .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig().setCorePoolSize(1).setMaxPoolSize(1)
            .setThreadFactory(task -> new Thread(task, "decisions"))) // the pool's own costs a start 30 ms
        .setMemoryManager(new HeapMemoryManager())
        .setReadBufferSize(READ_BUFFER)
        .setTcpNoDelay(true)
        .setReuseAddress(true)
        .setServerConnectionBackLog(1024)
        .build();
    transport.setChannelConfigurator(new SharedListener());
    this.budget = new Budget(0);
    this.upstreams = new Upstreams(transport, loop, clock, this, counters, budget,
        settings.limits().connectTimeout(), config.socketSettings().connectionIdle());
    this.sessions = new Sessions(transport, loop, clock, this, counters, budget);
    share(1);
    this.watch = new Watch(transport, loop, counters, new Random(config.seed()), config.discovery(),
        config.known().version(), list -> listed(list, list.whole() ? ListKind.FULL : ListKind.CHANGES),
        this::watchBroken, Watch.SILENCE_MS);
    if (config.ops() == null) {
      this.operations = null;
      this.calls = null;
    } else {
      this.operations = new Operations(directory, name, config.listen().getPort(),
          new Operations.Parts(nodes::contains, this::takesClients, this::give, this::share, clock,
              counters));
      this.calls = new Calls(transport, loop, operations, counters);
    }
  }

  /**
   * Shares out the descriptors among so many processes of this proxy. Clients hold a third of all at most, of
   * both together, so that each may have as many; the rest is for connections to cache nodes and origin.
   */
  private void share(int processes) {
    int reserved = RESERVED_DESCRIPTORS + (config.ops() == null ? 0 : OPS_DESCRIPTORS);
    int own = Math.max(MIN_DESCRIPTORS, (config.sockets() - processes * reserved) / processes);
    budget.limit(config.memoryMb() * 1024L * 1024 / BUDGET_SHARE / processes);
    int clients = processes == 1 ? own / 2 : own * 2 / 3;
    upstreams.resize(own - clients);
    sessions.resize(clients, Math.min(clients * 9 / 10, config.sockets() / CLIENT_SHARE));
  }

  /**
   * As {@link #start()}, but says that it is ready only once its code has been run a while. Where another
   * process of this proxy may serve, clients are listened to only then, and not before discovery was heard.
   */
  public void startWarm() throws IOException {
    warm = false;
    InetSocketAddress ops = open();
    InetSocketAddress self = calls == null ? listen() : ops;
    loop.execute(() -> new WarmUp(transport, loop, clock, this::warmedUp)
        .start(factory.apply(settings), settings, received(config.known(), ListKind.FULL), self,
            calls != null));
    try {
      listens.get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Begins to serve; returns once clients are listened to. */
  public void start() throws IOException {
    open();
    listen();
  }

  /**
   * Returns where operators call, or null. They are listened to once the bans and the known nodes stand, and
   * before anything is asked of discovery. Guards against a call that is refused while the proxy starts.
   */
  private InetSocketAddress open() throws IOException {
    transport.start();
    Config start = config;
    loop.execute(() -> {
      if (operations != null) {
        operations.start();
        loop.scheduleWithFixedDelay(operations::poll, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
        after(HEARD_MS, this::heard);
      }
      listed(start.known(), ListKind.REMEMBERED);
    });
    InetSocketAddress ops = calls == null ? null : calls.listen(config.ops());
    loop.execute(() -> {
      if (settings.listPushed()) {
        watch.follow();
      }
    });
    return ops;
  }

  private InetSocketAddress listen() throws IOException {
    InetSocketAddress address = sessions.listen(config.listen());
    LOG.info(name + " listens on " + config.listen());
    listens.complete(address);
    return address;
  }

  /** True while another process of this proxy is there, to be replaced by this one or in its place. */
  private boolean isReplacing() {
    return operations != null && operations.processes() > 1;
  }

  private void heard() {
    heard = true;
    listenWhenWarm();
  }

  /** Guards against clients that reach this process before it is of use, while another serves them. */
  private void listenWhenWarm() {
    if (!warm || !heard || ending || listens.isDone()) {
      return;
    }
    try {
      listen();
    } catch (IOException e) {
      listens.completeExceptionally(e);
    }
  }

  private boolean takesClients() {
    return listens.isDone() && isReady();
  }

  /** Takes a new configuration while it serves, or nothing of one that lacks what the present one has. */
  public void reload(Config next) {
    loop.execute(() -> {
      String missing = config.missingIn(next);
      if (missing != null) {
        reloadFailed("field '" + missing + "': missing");
        return;
      }
      counters.add(Counter.CONFIG_APPLIED);
      boolean moves = !next.discovery().equals(config.discovery());
      LOG.info("configuration read again: discovery " + (moves ? "moves to " : "stays at ")
          + next.discovery());
      if (config.needsRestart(next)) {
        LOG.warn("what changed of name, addresses, limits, zones, kinds or the list's ways holds from the "
            + "next start on");
      }
      config = next;
      if (moves && !watch.move(next.discovery()) && settings.listPushed()) {
        watch.follow(); // it waited to ask again
      }
      retune(next);
    });
  }

  /** Tells of a configuration that can't be used. */
  public void reloadFailed(String why) {
    counters.add(Counter.CONFIG_REJECTED);
    LOG.error("the new configuration can't be used, the old one stays: " + why);
  }

  /** The new settings hold at once, beside the old for requests of the old kind that are on their way. */
  private void retune(Config next) {
    Terms present = new Terms(settings, directory.names());
    Terms taken = Transition.taken(present, new Terms(next.settings(), next.socketSettings()));
    double longest = Math.max(longestDeadline(settings), longestDeadline(taken.settings()));
    int reload = ++reloads;
    change(Transition.meanwhile(present, taken));
    after(longest + OLD_KIND_MS, () -> {
      if (reload == reloads) {
        change(taken);
      }
    });
  }

  private void change(Terms next) {
    Terms present = new Terms(settings, directory.names());
    if (!next.equals(present)) {
      LOG.info("classes: " + next.names().classes() + ", attempts: "
          + next.settings().limits().maxAttempts());
      settings = next.settings();
      directory.take(next.names());
      upstreams.retime(settings.limits().connectTimeout(), next.names().connectionIdle());
      give(Transition.change(present, next));
    }
  }

  private static double longestDeadline(Settings settings) {
    return settings.classes().stream().mapToDouble(RequestClass::deadline).max().orElse(0);
  }

  /** The port that clients connect to. */
  public int port() {
    return listens.join().getPort();
  }

  /** The bytes of values that are held, and streams, each as one: 0 when nothing is left of either. */
  long held() {
    return budget.held() + budget.streams();
  }

  /** The port that operators call; 0 where there is none, or not yet. */
  int opsPort() {
    return calls == null ? 0 : calls.port();
  }

  /** Stops at once, whatever is open. */
  public void stop() throws IOException {
    if (operations != null) {
      operations.close();
    }
    transport.shutdownNow();
    loop.shutdownNow();
  }

  /** The counters, for the log or a test. */
  public Counters counters() {
    return counters;
  }

  // ---- What happens ---------------------------------------------------------------------------------------

  @Override
  public boolean isReady() {
    return listed && warm && !ending;
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
  public Exchange take(Command command, double readAt, Consumer<Answer> client) {
    int requestClass = directory.requestClass(command);
    double notAfter = readAt + command.waitMs();
    Exchange exchange = new Exchange(++lastId, command, notAfter, settings.limits().maxAttempts(), client,
        counters);
    counters.add(Counter.REQUESTS_TAKEN);
    exchanges.put(exchange.id(), exchange);
    idsInUse.add(id(command));
    // Queued, as its place in the order of answers must stand before the module may answer.
    loop.execute(() -> {
      if (exchange.isOver()) {
        return; // the client has left: the module must not hear of its leaving first, and of it after that
      }
      long id = exchange.id(); // the timer outlasts the exchange and must not keep it
      after(notAfter + LATE_MS - now(), () -> failLate(id));
      give(new RequestReceived(exchange.id(), Math.min(notAfter, endsBy), directory.tenant(command),
          requestClass, Directory.key(command.key()), command.kind() == Command.Kind.WRITE, command.again()));
    });
    return exchange;
  }

  /** Guards against a request that the module forgot: whatever was taken is answered. */
  private void failLate(long id) {
    Exchange exchange = exchanges.get(id);
    if (exchange == null || exchange.isOver()) {
      return;
    }
    counters.add(Counter.ANSWERS_OVERDUE);
    LOG.error("no answer in time for request " + id);
    close(exchange, Answer.FAILED);
    give(new RequestGone(id));
  }

  @Override
  public void gone(Exchange exchange) {
    if (exchange.abandon()) {
      counters.add(Counter.REQUESTS_GONE);
      forget(exchange);
      give(new RequestGone(exchange.id()));
    }
  }

  @Override
  public void ended(Exchange exchange, int attempt, String endpoint, double elapsed, Result result,
      Answer answer, String load) {
    exchange.endAttempt();
    if (answer != null) {
      close(exchange, answer);
    }
    forget(exchange);
    give(new AttemptEnded(exchange.id(), attempt, endpoint, elapsed, result, exchange.isOver(),
        directory.names().loads().named(load)));
  }

  @Override
  public void probed(String endpoint, double elapsed, Result result) {
    give(new ProbeEnded(endpoint, result, elapsed));
  }

  private void warmedUp() {
    warm = true;
    LOG.info(name + " is warm");
    if (calls != null) {
      listenWhenWarm();
    }
  }

  private ListReceived received(HostList list, ListKind kind) {
    return new ListReceived(kind, list.hosts().stream().map(directory::endpoint).toList());
  }

  private void listed(HostList list, ListKind kind) {
    if (kind == ListKind.FULL) {
      nodes.clear();
      upstreams.retain(list.hosts().stream().map(Host::host).collect(Collectors.toSet()));
    }
    for (Host host : list.hosts()) {
      Endpoint endpoint = directory.endpoint(host);
      if (endpoint.state() == EndpointState.GONE || endpoint.kind() == settings.originKind()) {
        nodes.remove(endpoint.id());
      } else {
        nodes.add(endpoint.id());
      }
      if (endpoint.state() == EndpointState.GONE) {
        upstreams.remove(endpoint.id());
      } else {
        upstreams.place(endpoint.id(), host.dial(), endpoint.kind() == settings.originKind(),
            endpoint.startedAt());
      }
    }
    give(received(list, kind));
    listed |= !list.hosts().isEmpty();
    if (calls != null && kind != ListKind.REMEMBERED) {
      heard();
    }
  }

  private void watchBroken() {
    if (settings.listPushed()) {
      watch.followLater();
    } else {
      give(new ListReceived(ListKind.UNAVAILABLE, List.of()));
    }
  }

  // ---- What is decided ------------------------------------------------------------------------------------

  private void give(Event event) {
    List<Action> actions;
    try {
      actions = balancer.handle(now(), event);
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
      after(a.delay(), () -> give(new TimerFired(a.token())));
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
    double now = now();
    double last = Math.min(exchange.notAfter(), endsBy);
    counters.check(settings.limits().secondCopies() || exchange.attemptsOut() == 0,
        "one attempt is out at a time");
    checkInUse(a.endpoint());
    int attempt = exchange.beginAttempt();
    if (exchange.isOver() || now >= last || attempt >= exchange.maxAttempts()) {
      loop.execute(() -> ended(exchange, attempt, a.endpoint(), 0, Result.NOT_SENT, null, null));
    } else {
      upstreams.send(exchange, attempt, a.endpoint(), a.limit() > 0 ? Math.min(last, now + a.limit()) : last);
    }
  }

  private void checkInUse(String endpoint) {
    counters.check(operations == null || !operations.isOut(endpoint), "nothing goes to a node that is out");
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

  private double now() {
    return clock.getAsDouble();
  }

  private void after(double delay, Runnable task) {
    loop.schedule(task, (long) Math.max(0, delay * 1000), TimeUnit.MICROSECONDS);
  }

  // ---- The end --------------------------------------------------------------------------------------------

  /** Ends in order: serves on while clients may still come, then answers all that was taken. */
  public void drain() throws InterruptedException {
    double killed = Math.min(longestDeadline(settings), LONGEST_DEADLINE_MS) + KILL_MS;
    loop.execute(() -> {
      ending = true;
      endsBy = now() + killed - END_MS;
      after(FRONT_LEAVES_MS, this::endSessions);
      after(endsBy - now(), this::endAll);
    });
    drained.await((long) (killed + KILL_MS), TimeUnit.MILLISECONDS);
    LOG.info(name + " ends: " + counters);
  }

  private void endSessions() {
    sessions.stopListening(isReplacing() ? LAST_WORDS_MS : LAST_WORDS_ALONE_MS);
    pollDrained();
  }

  /** Ends once all is answered and written, and clients have seen their connections close. */
  private void pollDrained() {
    if (sessions.isDrained()) {
      drained.countDown();
    } else {
      after(10, this::pollDrained);
    }
  }

  /** Guards against a SIGKILL with requests still open: their time is cut short, and the module answers. */
  private void endAll() {
    for (Exchange exchange : List.copyOf(exchanges.values())) {
      if (!exchange.isOver()) {
        upstreams.expire(exchange.id());
        after(LATE_MS, () -> failLate(exchange.id()));
      }
    }
    after(LAST_WRITES_MS, this::endStreams);
  }

  /** What streams goes on as long as it can. */
  private void endStreams() {
    if (sessions.isStreaming() && now() < endsBy + END_MS - LAST_WRITES_MS) {
      after(10, this::endStreams);
    } else {
      drained.countDown();
    }
  }
}
