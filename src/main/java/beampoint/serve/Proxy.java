package beampoint.serve;

import beampoint.Balancer;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Settings;
import beampoint.buffer.Budget;
import beampoint.client.Sessions;
import beampoint.count.Counters;
import beampoint.discovery.HostListWatcher;
import beampoint.fleet.membership.MemberTerms;
import beampoint.fleet.message.News;
import beampoint.fleet.node.FleetNode;
import beampoint.fleet.transport.Views;
import beampoint.log.Log;
import beampoint.ops.AdminServer;
import beampoint.upstream.Upstreams;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * One proxy: the sockets, the decision module between them, and when clients are listened to.
 */
public final class Proxy {

  private static final Log LOG = Log.of("serve");
  private static final int RESERVED_DESCRIPTORS = 32; // for the machine, discovery and standard streams
  private static final int OPS_DESCRIPTORS = AdminServer.MAX_CONNECTIONS + 4; // with shared files
  private static final int FLEET_DESCRIPTORS = Views.MAX_EXCHANGES + 4; // with both listeners
  private static final long POLL_MS = 100; // for what the other process of this proxy has stored
  private static final double HEARD_MS = 1500; // that a new process waits for discovery before it listens
  private static final int CLIENT_SHARE = 4; // of all descriptors; clients may hold a third
  private static final int READ_BUFFER = 32 * 1024; // at most this is read at once, however much has come
  private static final int BUDGET_SHARE = 8; // of the memory that values may take
  private static final int MIN_DESCRIPTORS = 8; // however little is left beside what is set aside

  private final Config config; // as it was at the start
  private final String name;
  private final Function<Settings, Balancer> factory;
  private final Counters counters = new Counters();
  private final Clock clock = new Clock();
  private final Loop loop = new Loop();
  private final Directory directory;
  private final TCPNIOTransport transport;
  private final Budget budget;
  private final Upstreams upstreams;
  private final Sessions sessions;
  private final HostListWatcher watch;
  private final FleetNode fleet; // null where the proxy is a member of none
  private final Decisions decisions;
  private final Reload reload;
  private final GracefulShutdown shutdown;
  private final Operations operations; // null without an address for operators, as is the next
  private final AdminServer adminServer;
  private final HostListReceiver hosts;
  private final CompletableFuture<InetSocketAddress> listens = new CompletableFuture<>();
  private boolean heard; // discovery, or waited for it long enough
  private volatile boolean warm = true; // code is compiled

  public Proxy(Config config, Function<Settings, Balancer> factory) {
    this(config, factory,
        Path.of(System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))));
  }

  /** The directory is shared with the other process of this proxy, if there is an address for operators. */
  Proxy(Config config, Function<Settings, Balancer> factory, Path directory) {
    this.config = config;
    this.name = config.name();
    this.factory = factory;
    Settings settings = config.settings();
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
    this.decisions = new Decisions(factory.apply(settings), settings, this.directory, counters, clock, loop,
        this::isReady, this::isOut);
    this.upstreams = new Upstreams(transport, loop, clock, decisions, counters, budget,
        settings.limits().connectTimeout(), config.socketSettings().connectionIdle());
    this.sessions = new Sessions(transport, loop, clock, loop.arrivals(clock), decisions, counters, budget);
    share(1);
    this.hosts = new HostListReceiver(this.directory, decisions, upstreams, this::discoveryAnswered);
    this.watch = new HostListWatcher(transport, loop, counters, new Random(config.seed()), config.discovery(),
        config.known().version(), hosts::receive, this::watchBroken, HostListWatcher.HEARTBEAT_TIMEOUT_MS,
        HostListWatcher.ANSWER_TIMEOUT_MS);
    decisions.carryOutWith(upstreams, watch);
    watch.onWatchResult(hosts::called);
    this.reload = new Reload(config, this.directory, decisions, upstreams, watch, counters, loop);
    this.fleet = config.fleet() == null ? null : new FleetNode(config.fleet(), name, config.seed(),
        MemberTerms.usual(), settings.siblings(), decisions::siblings, transport, loop, clock, counters);
    this.shutdown = new GracefulShutdown(sessions, decisions, loop, clock, this::isReplacing);
    if (config.ops() == null) {
      this.operations = null;
      this.adminServer = null;
    } else {
      this.operations = new Operations(directory, name, config.listen().getPort(),
          new Operations.Parts(hosts::hasCacheNode, this::takesClients, decisions::give, this::share, clock,
              counters));
      this.adminServer = new AdminServer(transport, loop, operations, counters);
    }
  }

  /**
   * Shares out the descriptors among so many processes of this proxy. Clients hold a third of all at most, of
   * both together, so that each may have as many; the rest is for connections to cache nodes and origin.
   */
  private void share(int processes) {
    int reserved = RESERVED_DESCRIPTORS + (config.ops() == null ? 0 : OPS_DESCRIPTORS)
        + (config.fleet() == null ? 0 : FLEET_DESCRIPTORS);
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
    InetSocketAddress self = adminServer == null ? onLoop(this::listen) : ops;
    loop.execute(() -> new WarmUp(transport, loop, clock, this::warmedUp)
        .start(factory.apply(config.settings()), config.settings(),
            hosts.event(config.known(), ListKind.FULL), self, adminServer != null));
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
    onLoop(this::listen);
  }

  /**
   * Binds on the decision thread, however long that has other work. Guards against Grizzly's limit of 10 s
   * for the selector to take a listener from another thread, after which a busy machine's start would be
   * given up.
   */
  private <T> T onLoop(Callable<T> task) throws IOException {
    try {
      return loop.submit(task).get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted while it starts", e);
    }
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
        loop.after(HEARD_MS, this::heard);
      }
      hosts.remember(start.known());
    });
    InetSocketAddress ops = adminServer == null ? null : onLoop(() -> adminServer.listen(config.ops()));
    if (fleet != null && operations == null) {
      onLoop(() -> {
        fleet.start();
        return null;
      });
    } else if (fleet != null) {
      joinWhenAlone(); // another process of this proxy is told of in a moment
    }
    loop.execute(() -> {
      if (decisions.settings().listPushed()) {
        watch.follow();
      } else if (!watch.isWatching()) {
        decisions.heardDiscovery(); // nothing comes until the module asks for it
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

  /** Two processes of one proxy are one member: the second takes the place of the first when that is gone. */
  private void joinWhenAlone() {
    loop.after(POLL_MS, () -> {
      if (isReplacing()) {
        joinWhenAlone();
        return;
      }
      try {
        fleet.start();
      } catch (IOException e) {
        LOG.error("can't be a member of its fleet", e);
      }
    });
  }

  private boolean isOut(String endpoint) {
    return operations != null && operations.isOut(endpoint);
  }

  private void heard() {
    heard = true;
    listenWhenWarm();
  }

  /** Guards against clients that reach this process before it is of use, while another serves them. */
  private void listenWhenWarm() {
    if (!warm || !heard || shutdown.hasBegun() || listens.isDone()) {
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
    loop.execute(() -> reload.take(next));
  }

  /** Tells of a configuration that can't be used. */
  public void reloadFailed(String why) {
    reload.failed(why);
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
    return adminServer == null ? 0 : adminServer.port();
  }

  /** Stops at once, whatever is open. */
  public void stop() throws IOException {
    if (operations != null) {
      operations.close();
    }
    if (fleet != null) {
      fleet.close();
    }
    transport.shutdownNow();
    loop.shutdownNow();
  }

  /** How many processes of this proxy there are, for a test. */
  int processes() throws InterruptedException, ExecutionException {
    return loop.submit(() -> operations.processes()).get();
  }

  /** How this proxy sees the members of its fleet, for a test. */
  List<News> members() throws InterruptedException, ExecutionException {
    return loop.submit(fleet::view).get();
  }

  /** The counters, for the log or a test. */
  public Counters counters() {
    return counters;
  }

  private boolean isReady() {
    return hosts.hasAny() && warm && !shutdown.hasBegun();
  }

  private void warmedUp() {
    warm = true;
    LOG.info(name + " is warm");
    if (adminServer != null) {
      listenWhenWarm();
    }
  }

  private void discoveryAnswered() {
    if (adminServer != null) {
      heard();
    }
  }

  private void watchBroken() {
    if (decisions.settings().listPushed()) {
      watch.followLater();
    } else {
      decisions.give(new ListReceived(ListKind.UNAVAILABLE, List.of()));
    }
  }

  /** Ends in order: serves on while clients may still come, then answers all that was taken. */
  public void drain() throws InterruptedException {
    if (fleet != null) {
      loop.execute(fleet::leave);
    }
    shutdown.await();
    LOG.info(name + " ends: " + counters);
  }
}
