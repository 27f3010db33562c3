package beampoint.emulator;

import beampoint.fleet.changes.Change;
import beampoint.fleet.distribution.DistributionAction.Send;
import beampoint.fleet.distribution.DistributionCodec;
import beampoint.fleet.distribution.DistributionEvent;
import beampoint.fleet.distribution.DistributionEvent.BecameLeader;
import beampoint.fleet.distribution.DistributionEvent.LostLeadership;
import beampoint.fleet.distribution.DistributionEvent.ParentsChanged;
import beampoint.fleet.distribution.DistributionEvent.Received;
import beampoint.fleet.distribution.DistributionEvent.Tick;
import beampoint.fleet.distribution.DistributionMessage;
import beampoint.fleet.distribution.DistributionNode;
import beampoint.fleet.distribution.DistributionSettings;
import beampoint.fleet.distribution.DistributionTree;
import beampoint.fleet.distribution.MalformedMessageException;
import beampoint.fleet.distribution.ProgressTracker;
import beampoint.fleet.distribution.TreeMember;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Control machines and proxies in virtual time. Each runs the state machine of the distribution tree, and the
 * control machines run the replicated log as well; the proxies serve no requests. Hosts can be killed,
 * restarted, paused, partitioned and reconnected.
 */
public final class ControlFleet {

  private static final long FIRST_LIFE = 1_764_000_000_000L; // a real process uses its start time
  private static final double TICK_MS = 50;
  private static final double CHECK_INTERVAL_MS = 250;

  /** Below half of the drift in the settings, so that two clocks differ by less than the drift. */
  private static final double MAX_CLOCK_RATE_ERROR = 0.004;

  private final Clock clock = new Clock(0);
  private final FleetLayout layout;
  private final DistributionSettings settings;
  private final DistributionTree tree;
  private final UniformRandomProvider random;
  private final ControlNetwork network;
  private final DistributionCodec codec = new DistributionCodec("emulated");
  private final List<ControlHost> hosts = new ArrayList<>();
  private final ChangeChecks checks = new ChangeChecks();
  private final ProgressChecks progressChecks = new ProgressChecks(hosts, checks);
  private final Views views;
  private final ControlLog log;

  /**
   * Creates a fleet whose hosts have just started.
   *
   * @param withMembership true to run the membership protocol, false to model its results
   */
  public ControlFleet(FleetLayout layout, DistributionSettings settings, int fanOut,
      ControlNetwork.Delays delays, boolean withMembership, long seed) {
    this.layout = layout;
    this.settings = settings;
    this.tree = new DistributionTree(fanOut);
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.network = new ControlNetwork(layout, delays, RandomSource.XO_SHI_RO_256_PP.create(seed + 1));
    for (int i = 0; i < layout.hosts(); i++) {
      double rate = 1 + MAX_CLOCK_RATE_ERROR * (2 * random.nextDouble() - 1);
      hosts.add(new ControlHost(i, layout.member(i), rate));
    }
    this.views = withMembership
        ? new MembershipViews(clock, layout, hosts, network, random, this::updateParents)
        : new ModelledViews(clock, layout, hosts, network, random, this::updateParents);
    this.log = new ControlLog(clock, layout, hosts, network, checks, random, this::deliver,
        this::updateParents);
    hosts.forEach(host -> start(host.number));
    clock.after(CHECK_INTERVAL_MS, this::checkProgress);
  }

  // ---- Faults ---------------------------------------------------------------------------------------------

  /** Starts a host for the first time or again; it has applied nothing. */
  public void start(int number) {
    ControlHost host = hosts.get(number);
    host.life++;
    double since = isReachable(number) ? clock.now() : Double.POSITIVE_INFINITY;
    ChangeChecks.Record record = checks.new Record(clock, since);
    boolean isControl = number < layout.controlMachines();
    host.start(new DistributionNode(isControl ? settings.forControlMachine() : settings, host.member,
        FIRST_LIFE + host.life, 0, record, host.localTime(clock.now())), record);
    if (isControl) {
      log.started(host);
    }
    views.started(host);
    updateParents(host);
    long life = host.life;
    clock.after(random.nextDouble() * TICK_MS, () -> tick(host, life));
  }

  /** Stops a host without notifying any other. */
  public void kill(int number) {
    ControlHost host = hosts.get(number);
    host.stop();
    host.record.reachableSince(Double.POSITIVE_INFINITY);
  }

  /** Lets the other hosts detect that hosts were killed, started, cut off or reconnected. */
  public void detectChanges(List<Integer> numbers) {
    views.changed(numbers);
  }

  /** Pauses a host; its events are deferred until it is resumed. */
  public void pause(int number) {
    hosts.get(number).pause();
    hosts.get(number).record.reachableSince(Double.POSITIVE_INFINITY);
  }

  /** Resumes a paused host, which then handles its deferred events. */
  public void resume(int number) {
    hosts.get(number).resume();
    updateReachability(hosts.get(number));
  }

  /** Moves hosts to a network partition; 0 is the main partition. */
  public void isolate(Collection<Integer> numbers, int partition) {
    network.isolate(numbers, partition);
    hosts.forEach(this::updateReachability);
  }

  /** Removes all faults of the network; hosts that are down stay down. */
  public void healNetwork() {
    network.healAll();
    network.setMessageFaults(0, 0, 0, 0);
    hosts.forEach(this::updateReachability);
  }

  private void updateReachability(ControlHost host) {
    boolean reachable = host.isUp() && !host.isPaused() && isReachable(host.number);
    if (!reachable) {
      host.record.reachableSince(Double.POSITIVE_INFINITY);
    } else if (Double.isInfinite(host.record.reachableSince())) {
      host.record.reachableSince(clock.now());
    }
  }

  /**
   * Whether a host is in partition 0, the main one. Callers must keep a majority of the control machines
   * there.
   */
  private boolean isReachable(int number) {
    return network.partition(number) == 0;
  }

  /** Submits a change, and retries until it is committed. */
  public void submit(Change change) {
    log.submit(change);
  }

  // ---- Simulation -----------------------------------------------------------------------------------------

  /** Runs the simulation up to a time, in ms. */
  public void runTo(double time) {
    clock.runTo(time);
  }

  public double now() {
    return clock.now();
  }

  void at(double time, Runnable task) {
    clock.at(time, task);
  }

  /** Resets the counters of bytes and times. */
  public void countFromNow() {
    hosts.forEach(host -> host.traffic.restart(clock.now()));
    checks.countFrom(clock.now());
    views.countFromNow();
  }

  private void tick(ControlHost host, long life) {
    if (host.life == life && host.isUp()) {
      if (!host.isPaused()) {
        deliver(host, new Tick());
      }
      clock.after(TICK_MS, () -> tick(host, life));
    }
  }

  private void updateParents(ControlHost host) {
    if (host.isUp()) {
      List<TreeMember> live = new ArrayList<>();
      for (int other : views.possiblePeers(host)) {
        if (!host.dead.contains(layout.member(other).name())) {
          live.add(layout.member(other));
        }
      }
      deliver(host, new ParentsChanged(tree.parents(host.member, live, host.knownLeader)));
    }
  }

  private void deliver(ControlHost host, DistributionEvent event) {
    if (host.isUp()) {
      boolean isLeadershipEvent = event instanceof BecameLeader || event instanceof LostLeadership;
      if (host.controlNode != null && !isLeadershipEvent) {
        log.updateLeadership(host);
      }
      host.node.handle(host.localTime(clock.now()), event).forEach(action -> {
        if (action instanceof Send send) {
          send(host, hosts.get(layout.hostNumber(send.to())), send.message());
        }
      });
    }
  }

  private void send(ControlHost from, ControlHost to, DistributionMessage message) {
    byte[] bytes = codec.write(message);
    from.traffic.add(clock.now(), bytes.length);
    for (int copies = network.copies(from.number, to.number); copies > 0; copies--) {
      clock.after(network.delay(from.number, to.number), () -> deliverMessage(from, to, bytes));
    }
  }

  private void deliverMessage(ControlHost from, ControlHost to, byte[] bytes) {
    if (!to.isUp() || network.partition(from.number) != network.partition(to.number)) {
      return;
    }
    to.traffic.add(clock.now(), bytes.length);
    long life = to.life;
    to.runOrDefer(() -> {
      if (to.life == life) {
        deliver(to, new Received(from.member.name(), read(bytes)));
      }
    });
  }

  private DistributionMessage read(byte[] bytes) {
    try {
      return codec.read(bytes, bytes.length);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  private void checkProgress() {
    int leader = log.leader();
    ProgressTracker tracker = leader < 0 ? null : hosts.get(leader).node.tracker();
    if (tracker != null) {
      progressChecks.check(clock.now(), tracker, hosts.get(leader).localTime(clock.now()));
    }
    clock.after(CHECK_INTERVAL_MS, this::checkProgress);
  }

  // ---- State ----------------------------------------------------------------------------------------------

  /** Returns the tree member of a host; null while it is down. */
  public DistributionNode node(int number) {
    return hosts.get(number).node;
  }

  /** Returns the number of the control machine that leads; -1 if there is none. */
  public int leader() {
    return log.leader();
  }

  ControlNetwork network() {
    return network;
  }

  ChangeChecks checks() {
    return checks;
  }

  ProgressChecks progressChecks() {
    return progressChecks;
  }

  List<ControlHost> hosts() {
    return hosts;
  }

  ControlLog log() {
    return log;
  }

  Views views() {
    return views;
  }

  FleetLayout layout() {
    return layout;
  }
}
