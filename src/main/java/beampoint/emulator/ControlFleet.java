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
 * Control machines and hollow proxies in virtual time, each with the state machine that carries changes; the
 * control machines have the replicated log as well. Hosts may be killed, stand still, be cut off and come
 * back.
 */
public final class ControlFleet {

  private static final long FIRST_LIFE = 1_764_000_000_000L; // as a process that takes its time of start
  private static final double TICK = 50;
  private static final double CHECK_EVERY = 250;
  private static final double CLOCK_SCATTER = 0.004; // under half of the drift that the terms allow for

  private final Clock clock = new Clock(0);
  private final FleetLayout layout;
  private final DistributionSettings terms;
  private final DistributionTree tree;
  private final UniformRandomProvider random;
  private final ControlNetwork network;
  private final DistributionCodec codec = new DistributionCodec("emulated");
  private final List<ControlHost> hosts = new ArrayList<>();
  private final ChangeChecks checks = new ChangeChecks();
  private final ProgressChecks progressChecks = new ProgressChecks(hosts, checks);
  private final Views views;
  private final ControlLog log;

  /** A fleet whose hosts all have just started. */
  public ControlFleet(FleetLayout layout, DistributionSettings terms, int fanOut,
      ControlNetwork.Delays delays, boolean withMembership, long seed) {
    this.layout = layout;
    this.terms = terms;
    this.tree = new DistributionTree(fanOut);
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.network = new ControlNetwork(layout, delays, RandomSource.XO_SHI_RO_256_PP.create(seed + 1));
    for (int i = 0; i < layout.hosts(); i++) {
      double rate = 1 + CLOCK_SCATTER * (2 * random.nextDouble() - 1);
      hosts.add(new ControlHost(i, layout.member(i), rate));
    }
    this.views = withMembership
        ? new MembershipViews(clock, layout, hosts, network, random, this::findParents)
        : new ModelledViews(clock, layout, hosts, network, random, this::findParents);
    this.log = new ControlLog(clock, layout, hosts, network, checks, random, this::give, this::findParents);
    hosts.forEach(host -> start(host.number));
    clock.after(CHECK_EVERY, this::check);
  }

  // ---- What happens to hosts ------------------------------------------------------------------------------

  /** Starts a host, or one that is down again: it has applied nothing. */
  public void start(int number) {
    ControlHost host = hosts.get(number);
    host.life++;
    double since = reachable(number) ? clock.now() : Double.POSITIVE_INFINITY;
    ChangeChecks.Record record = checks.new Record(clock, since);
    boolean isControl = number < layout.controls();
    host.start(new DistributionNode(isControl ? terms.forControlMachine() : terms, host.member,
        FIRST_LIFE + host.life, 0, record, host.localTime(clock.now())), record);
    if (isControl) {
      log.started(host);
    }
    views.started(host);
    findParents(host);
    long life = host.life;
    clock.after(random.nextDouble() * TICK, () -> tick(host, life));
  }

  /** Ends a host without a word. */
  public void kill(int number) {
    ControlHost host = hosts.get(number);
    host.stop();
    host.record.reachableSince(Double.POSITIVE_INFINITY);
  }

  /** Lets the members find out what was done to hosts. */
  public void changed(List<Integer> numbers) {
    views.changed(numbers);
  }

  public void pause(int number) {
    hosts.get(number).pause();
    hosts.get(number).record.reachableSince(Double.POSITIVE_INFINITY);
  }

  public void resume(int number) {
    hosts.get(number).resume();
    reachableAgain(hosts.get(number));
  }

  /** Cuts hosts off together from all others, or heals that: island 0 is the mainland. */
  public void isolate(Collection<Integer> numbers, int island) {
    network.isolate(numbers, island);
    hosts.forEach(this::reachableAgain);
  }

  /** Mends all links; hosts that are down stay so. */
  public void healNetwork() {
    network.mendAll();
    network.setMessageFaults(0, 0, 0, 0);
    hosts.forEach(this::reachableAgain);
  }

  private void reachableAgain(ControlHost host) {
    boolean isReachable = host.isUp() && !host.isPaused() && reachable(host.number);
    if (!isReachable) {
      host.record.reachableSince(Double.POSITIVE_INFINITY);
    } else if (Double.isInfinite(host.record.reachableSince())) {
      host.record.reachableSince(clock.now());
    }
  }

  /** Faults leave a majority of the control machines on the mainland. */
  private boolean reachable(int number) {
    return network.partition(number) == 0;
  }

  /** Submits a change until it is committed. */
  public void submit(Change change) {
    log.submit(change);
  }

  // ---- Playing --------------------------------------------------------------------------------------------

  /** Plays on to a time, in ms. */
  public void runTo(double time) {
    clock.runTo(time);
  }

  public double now() {
    return clock.now();
  }

  void at(double time, Runnable task) {
    clock.at(time, task);
  }

  /** Counts bytes and times anew from now on. */
  public void countFromNow() {
    hosts.forEach(host -> host.traffic.restart(clock.now()));
    checks.countFrom(clock.now());
    views.countFromNow();
  }

  private void tick(ControlHost host, long life) {
    if (host.life == life && host.isUp()) {
      if (!host.isPaused()) {
        give(host, new Tick());
      }
      clock.after(TICK, () -> tick(host, life));
    }
  }

  private void findParents(ControlHost host) {
    if (host.isUp()) {
      List<TreeMember> living = new ArrayList<>();
      for (int other : views.ofInterest(host)) {
        if (!host.dead.contains(layout.member(other).name())) {
          living.add(layout.member(other));
        }
      }
      give(host, new ParentsChanged(tree.parents(host.member, living, host.knownLeader)));
    }
  }

  private void give(ControlHost host, DistributionEvent event) {
    if (host.isUp()) {
      boolean tellsOfLeader = event instanceof BecameLeader || event instanceof LostLeadership;
      if (host.controlNode != null && !tellsOfLeader) {
        log.refresh(host);
      }
      host.node.handle(host.localTime(clock.now()), event).forEach(action -> {
        if (action instanceof Send send) {
          send(host, hosts.get(layout.number(send.to())), send.message());
        }
      });
    }
  }

  private void send(ControlHost from, ControlHost to, DistributionMessage message) {
    byte[] bytes = codec.write(message);
    from.traffic.add(clock.now(), bytes.length);
    for (int copies = network.copies(from.number, to.number); copies > 0; copies--) {
      clock.after(network.delay(from.number, to.number), () -> deliver(from, to, bytes));
    }
  }

  private void deliver(ControlHost from, ControlHost to, byte[] bytes) {
    if (!to.isUp() || network.partition(from.number) != network.partition(to.number)) {
      return;
    }
    to.traffic.add(clock.now(), bytes.length);
    long life = to.life;
    to.runOrDefer(() -> {
      if (to.life == life) {
        give(to, new Received(from.member.name(), read(bytes)));
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

  private void check() {
    int leader = log.leader();
    ProgressTracker tracker = leader < 0 ? null : hosts.get(leader).node.tracker();
    if (tracker != null) {
      progressChecks.check(clock.now(), tracker, hosts.get(leader).localTime(clock.now()));
    }
    clock.after(CHECK_EVERY, this::check);
  }

  // ---- What is seen ---------------------------------------------------------------------------------------

  /** The machine of a host; null while it is down. */
  public DistributionNode node(int number) {
    return hosts.get(number).node;
  }

  /** The number of the control machine that leads; -1 for none. */
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
