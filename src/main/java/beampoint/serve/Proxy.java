package beampoint.serve;

import beampoint.Balancer;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.Settings;
import beampoint.buffer.Budget;
import beampoint.client.Sessions;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.discovery.HostListWatcher;
import beampoint.fleet.membership.MembershipSettings;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.node.FleetNode;
import beampoint.fleet.transport.ViewExchanger;
import beampoint.handover.UsedRequestIds;
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
 * One proxy: connects the client side, the upstream side and the decision module, which is a
 * {@link Balancer}, and decides when it listens to clients.
 */
public final class Proxy {

  private static final Log LOG = Log.of("serve");
  private static final int RESERVED_DESCRIPTORS = 32; // for the JVM, discovery and standard streams
  private static final int OPS_DESCRIPTORS = AdminServer.MAX_CONNECTIONS + 5; // including shared files
  private static final int FLEET_DESCRIPTORS = ViewExchanger.MAX_EXCHANGES + 4; // including both listeners
  private static final long POLL_MS = 100; // for the files shared with another process of this proxy
  private static final double DISCOVERY_WAIT_MS = 1500; // how long a new process waits before it listens
  /** Inactive clients are evicted if the connections exceed a fourth of all descriptors. */
  private static final int EVICTION_THRESHOLD_DIVISOR = 4;
  private static final int READ_BUFFER_BYTES = 32 * 1024; // the most that one read takes
  private static final int BUDGET_DIVISOR = 8; // values may take 1/8 of the memory
  private static final double MAX_BUDGET_HEAP_SHARE = 3.0 / 8; // as the heap may be small beside the memory
  private static final int MIN_DESCRIPTORS = 8; // per process for clients and upstreams, even if fewer remain

  private final Config config; // at the start; not updated by a reload
  private final String name;
  private final Function<Settings, Balancer> balancerFactory;
  private final Counters counters = new Counters();
  private final Clock clock = new Clock();
  private final EventLoop loop = new EventLoop();
  private final NameIndex names;
  private final TCPNIOTransport transport;
  private final Budget budget;
  private final Upstreams upstreams;
  private final Sessions sessions;
  private final HostListWatcher watcher;
  private final FleetNode fleet; // null if the proxy is a member of no fleet
  private final Decisions decisions;
  private final UsedRequestIds usedIds;
  private final Reload reload;
  private final GracefulShutdown shutdown;
  private final Operations operations; // null if there is no address for operators, as is adminServer
  private final AdminServer adminServer;
  private final HostListReceiver hosts;
  private final CompletableFuture<InetSocketAddress> listening = new CompletableFuture<>();
  private boolean discoveryWaitOver; // discovery has answered, or the wait for it has timed out
  private volatile boolean warm = true; // false during the warm-up; stays true without one

  /**
   * A proxy that is not started yet.
   *
   * @param balancerFactory creates an instance of the decision module for the given settings
   */
  public Proxy(Config config, Function<Settings, Balancer> balancerFactory) {
    this(config, balancerFactory,
        Path.of(System.getenv().getOrDefault("TMPDIR", System.getProperty("java.io.tmpdir"))));
  }

  /**
   * A proxy that is not started yet.
   *
   * @param balancerFactory creates an instance of the decision module for the given settings
   * @param directory holds the ban file and the process registry, which are shared with other processes of
   * this proxy; used only if there is an address for operators
   */
  Proxy(Config config, Function<Settings, Balancer> balancerFactory, Path directory) {
    this.config = config;
    this.name = config.name();
    this.balancerFactory = balancerFactory;
    Settings settings = config.settings();
    this.names = new NameIndex(config.socketSettings());
    // One selector, with all filters and decisions on its thread: the proxy has one core or a part of one.
    this.transport = TCPNIOTransportBuilder.newInstance()
        .setIOStrategy(SameThreadIOStrategy.getInstance())
        .setSelectorRunnersCount(1)
        .setSelectorHandler(loop.selectorHandler())
        .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig().setCorePoolSize(1).setMaxPoolSize(1)
            .setThreadFactory(task -> new Thread(task, "decisions"))) // the default one adds 30 ms to a start
        .setMemoryManager(new HeapMemoryManager())
        .setReadBufferSize(READ_BUFFER_BYTES)
        .setTcpNoDelay(true)
        .setReuseAddress(true)
        .setServerConnectionBackLog(1024)
        .build();
    transport.setChannelConfigurator(new SharedListener());
    this.budget = new Budget(0, held -> counters.raise(Counter.MEMORY_HELD_PEAK_BYTES, held));
    this.usedIds = config.ops() == null ? new UsedRequestIds()
        : new UsedRequestIds(Operations.sharedFile(directory, name, config.listen().getPort(), ".ids"));
    this.decisions = new Decisions(balancerFactory.apply(settings), settings, names, counters, clock, loop,
        this::isReady, this::isBanned, usedIds);
    this.upstreams = new Upstreams(transport, loop, clock, decisions, counters, budget,
        settings.limits().connectTimeout(), config.socketSettings().peerIdleTimeoutMs());
    this.sessions = new Sessions(transport, loop, clock, loop.arrivals(clock), decisions, counters, budget);
    divideResources(1);
    this.hosts = new HostListReceiver(names, decisions, upstreams, this::listReceived);
    this.watcher = new HostListWatcher(transport, loop, counters, new Random(config.seed()),
        config.discovery(), config.known().version(), hosts::receive, this::watchFailed,
        HostListWatcher.HEARTBEAT_TIMEOUT_MS, HostListWatcher.RESPONSE_TIMEOUT_MS);
    decisions.connect(upstreams, watcher);
    watcher.onWatchResult(hosts::onContact);
    this.reload = new Reload(config, names, decisions, upstreams, watcher, counters, loop);
    this.fleet = config.fleet() == null ? null : new FleetNode(config.fleet(), name, config.seed(),
        MembershipSettings.defaults(), settings.siblings(), decisions::setSiblings, transport, loop, clock,
        counters);
    this.shutdown = new GracefulShutdown(sessions, decisions, loop, clock, this::hasOtherProcess);
    if (config.ops() == null) {
      this.operations = null;
      this.adminServer = null;
    } else {
      this.operations = new Operations(directory, name, config.listen().getPort(),
          new Operations.Dependencies(hosts::hasCacheNode, this::acceptsClients, decisions::dispatch,
              this::divideResources, clock, counters));
      this.adminServer = new AdminServer(transport, loop, operations, counters);
    }
  }

  /**
   * Divides descriptors and memory among the processes of this proxy. The clients of a single process may
   * hold half of the descriptors that are not reserved. Of two processes each has half of the descriptors,
   * and its clients may hold two thirds of that, so that the clients of either process may hold a third of
   * all. The rest is for connections to cache nodes and the origin.
   */
  private void divideResources(int processes) {
    int reserved = RESERVED_DESCRIPTORS + (config.ops() == null ? 0 : OPS_DESCRIPTORS)
        + (config.fleet() == null ? 0 : FLEET_DESCRIPTORS);
    int available = Math.max(MIN_DESCRIPTORS, (config.sockets() - processes * reserved) / processes);
    budget.setLimit(budgetBytes(config.memoryMb(), Runtime.getRuntime().maxMemory(), processes));
    int clients = processes == 1 ? available / 2 : available * 2 / 3;
    upstreams.setMaxConnections(available - clients);
    sessions.setConnectionLimits(clients,
        Math.min(clients * 9 / 10, config.sockets() / EVICTION_THRESHOLD_DIVISOR));
  }

  /** The memory for values, replies and answers of one of so many processes, in bytes. */
  static long budgetBytes(int memoryMb, long heapBytes, int processes) {
    long share = memoryMb * 1024L * 1024 / BUDGET_DIVISOR / processes;
    return Math.min(share, (long) (heapBytes * MAX_BUDGET_HEAP_SHARE));
  }

  /**
   * As {@link #start()}, but reports that it is ready only after a warm-up of its code. If another process of
   * this proxy may be serving, it listens to clients only after the warm-up, and after discovery has answered
   * or the wait for it has timed out.
   */
  public void startWithWarmUp() throws IOException {
    warm = false;
    InetSocketAddress ops = open();
    InetSocketAddress warmUpAddress = adminServer == null ? callOnLoop(this::listen) : ops;
    loop.execute(() -> new WarmUp(transport, loop, clock, this::warmedUp)
        .start(balancerFactory.apply(config.settings()), config.settings(),
            hosts.event(config.known().hosts(), ListKind.FULL), warmUpAddress, adminServer != null));
    try {
      listening.get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Starts to serve; returns once it listens to clients. */
  public void start() throws IOException {
    open();
    callOnLoop(this::listen);
  }

  /**
   * Binds on the decision thread, however long that is busy. From another thread, Grizzly waits for at most
   * 10 s until the selector takes the listener, and the start would fail on a busy machine.
   */
  private <T> T callOnLoop(Callable<T> task) throws IOException {
    try {
      return loop.submit(task).get();
    } catch (ExecutionException e) {
      throw new IOException(e.getCause().getMessage(), e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted during the start", e);
    }
  }

  /**
   * Starts all but the listener for clients, and returns the address for operators or null. The listener for
   * operators opens once the bans and the configured nodes are known and before discovery is called, so that
   * no operator's call is refused while the proxy starts.
   */
  private InetSocketAddress open() throws IOException {
    transport.start();
    Config initial = config;
    loop.execute(() -> {
      if (operations != null) {
        operations.start();
        loop.scheduleWithFixedDelay(operations::poll, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
        loop.after(DISCOVERY_WAIT_MS, this::endDiscoveryWait);
      }
      hosts.receiveConfigured(initial.known());
    });
    InetSocketAddress ops = adminServer == null ? null : callOnLoop(() -> adminServer.listen(config.ops()));
    if (fleet != null && operations == null) {
      callOnLoop(() -> {
        fleet.start();
        return null;
      });
    } else if (fleet != null) {
      joinWhenAlone(); // the number of processes is known after the first poll
    }
    loop.execute(() -> {
      if (decisions.settings().listPushed()) {
        watcher.openWatch();
      } else if (!watcher.isWatching()) {
        decisions.discoveryContacted(); // no list comes until the module asks for one
      }
    });
    return ops;
  }

  private InetSocketAddress listen() throws IOException {
    InetSocketAddress address = sessions.listen(config.listen());
    LOG.info(name + " listens on " + config.listen());
    listening.complete(address);
    return address;
  }

  /** True while there is another process of this proxy, which replaces this one or is replaced by it. */
  private boolean hasOtherProcess() {
    return operations != null && operations.processes() > 1;
  }

  /** Joins the fleet once no other process is left, because all processes of a proxy are a single member. */
  private void joinWhenAlone() {
    loop.after(POLL_MS, () -> {
      if (hasOtherProcess()) {
        joinWhenAlone();
        return;
      }
      try {
        fleet.start();
      } catch (IOException e) {
        LOG.error("can't join the fleet", e);
      }
    });
  }

  private boolean isBanned(String endpoint) {
    return operations != null && operations.isBanned(endpoint);
  }

  private void endDiscoveryWait() {
    discoveryWaitOver = true;
    listenWhenWarm();
  }

  /** Listens to clients, but not before this process is able to serve them: another may still do so. */
  private void listenWhenWarm() {
    if (!warm || !discoveryWaitOver || shutdown.hasBegun() || listening.isDone()) {
      return;
    }
    try {
      listen();
    } catch (IOException e) {
      listening.completeExceptionally(e);
    }
  }

  private boolean acceptsClients() {
    return listening.isDone() && isReady();
  }

  /** Applies a new configuration while serving, or rejects one that lacks a key that the present one has. */
  public void reload(Config next) {
    loop.execute(() -> reload.apply(next));
  }

  /** Counts and logs a configuration that can't be used. */
  public void reloadFailed(String why) {
    reload.rejected(why);
  }

  /** The port that clients connect to; waits until it is open. */
  public int port() {
    return listening.join().getPort();
  }

  /** For a test: the number of open client connections. */
  int connectedClients() throws InterruptedException, ExecutionException {
    return loop.submit(sessions::connections).get();
  }

  /** For a test: 0 if no value bytes are held and no stream is open. */
  long unreleased() throws InterruptedException, ExecutionException {
    return loop.submit(() -> budget.held() + budget.streams()).get();
  }

  /** The port that operators call; 0 if there is none, or none yet. */
  int opsPort() {
    return adminServer == null ? 0 : adminServer.port();
  }

  /** Stops at once, without regard to open requests. */
  public void stop() throws IOException {
    if (operations != null) {
      operations.close();
    }
    if (fleet != null) {
      fleet.close();
    }
    transport.shutdownNow();
    loop.shutdownNow();
    sessions.stop();
    usedIds.close();
  }

  /** How many processes of this proxy there are, for a test. */
  int processes() throws InterruptedException, ExecutionException {
    return loop.submit(() -> operations.processes()).get();
  }

  /** The members of the fleet as this proxy sees them, for a test. */
  List<MemberState> members() throws InterruptedException, ExecutionException {
    return loop.submit(fleet::view).get();
  }

  /** The counters, for the log or a test. */
  public Counters counters() {
    return counters;
  }

  /** True once requests can be decided, and until a shutdown begins. */
  private boolean isReady() {
    return hosts.hasHosts() && warm && !shutdown.hasBegun();
  }

  private void warmedUp() {
    warm = true;
    LOG.info(name + " is warm");
    if (adminServer != null) {
      listenWhenWarm();
    }
  }

  private void listReceived() {
    if (adminServer != null) {
      endDiscoveryWait();
    }
  }

  private void watchFailed() {
    if (decisions.settings().listPushed()) {
      watcher.openWatchLater();
    } else {
      decisions.dispatch(new ListReceived(ListKind.UNAVAILABLE, List.of()));
    }
  }

  /** Shuts down gracefully: serves on while clients may still arrive, then answers all accepted requests. */
  public void shutDownGracefully() throws InterruptedException {
    if (fleet != null) {
      loop.execute(fleet::leave);
    }
    shutdown.shutDownGracefully();
    LOG.info(name + " ends: " + counters);
  }
}
