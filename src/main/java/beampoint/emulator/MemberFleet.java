package beampoint.emulator;

import beampoint.fleet.membership.MemberAction;
import beampoint.fleet.membership.MemberAction.ReportChange;
import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberAction.Send;
import beampoint.fleet.membership.MemberEvent;
import beampoint.fleet.membership.Membership;
import beampoint.fleet.membership.MembershipSettings;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Status;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;
import java.util.function.IntPredicate;
import java.util.function.LongSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Members of a fleet in virtual time, each running the production state machine of the membership protocol.
 * The link between each two of them may lose, delay, duplicate and reorder messages, and may be cut in one
 * direction. Members can be paused, killed and restarted.
 */
public final class MemberFleet {

  /**
   * A member became dead in the view of another.
   *
   * @param at when, in ms
   * @param member the number of the member that became dead
   * @param observer the number of the member in whose view it became dead
   * @param wasAlive true for a false positive
   * @param ranFor how long the member had been running since its start, in ms; 0 if it was down
   */
  public record Death(double at, int member, int observer, boolean wasAlive, double ranFor) {}

  /** An event that a member has handled, with its time. */
  public record TimedEvent(double at, MemberEvent event) {}

  private static final class Host {
    final int number;
    Membership membership; // null while it is down
    long seed;
    double startedAt;
    int life; // the number of its process
    boolean paused;
    final BitSet live = new BitSet(); // members that are live in its view, updated by its reported changes
    List<TimedEvent> recorded; // null while its events are not recorded
    final List<Runnable> deferred = new ArrayList<>(); // until the end of its pause

    Host(int number) {
      this.number = number;
    }
  }

  /** The number of messages that a socket holds for a paused process. */
  private static final int MAX_DEFERRED = 200;

  private static final long FIRST_INCARNATION = 1; // of a member at its start

  private final Clock clock = new Clock(0);
  private final MembershipSettings settings;
  private final UniformRandomProvider random;
  private final UniformRandomProvider seeds;
  private final List<Host> hosts = new ArrayList<>();
  private final List<MemberState> initialStates;
  private final double[][] losses;
  private final List<Death> deaths = new ArrayList<>();
  private double delay = 0.5;
  private double jitter = 2;
  private double duplicationRate;
  private long messages;
  private final MemberTraffic traffic;
  private final MemberWire wire = new MemberWire(new Codec("emulated"));
  private LongSupplier nanoClock = () -> 0;
  private long stateMachineNanos;

  /** Creates members that know the addresses of all others and have not received a message of any. */
  public MemberFleet(int members, MembershipSettings settings, long seed) {
    this(settings, seed, initialStates(members, 0));
  }

  /**
   * Creates members that know each other's current incarnation, as they would a long time after their start.
   */
  public static MemberFleet settled(int members, MembershipSettings settings, long seed) {
    return new MemberFleet(settings, seed, initialStates(members, FIRST_INCARNATION));
  }

  private MemberFleet(MembershipSettings settings, long seed, List<MemberState> initialStates) {
    int members = initialStates.size();
    this.settings = settings;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.seeds = RandomSource.SPLIT_MIX_64.create(seed);
    this.losses = new double[members][members];
    this.traffic = new MemberTraffic(members);
    this.initialStates = initialStates;
    for (int i = 0; i < members; i++) {
      hosts.add(new Host(i));
      start(i);
    }
  }

  /** Returns all members as each knows them at its start, with incarnation 0 before it has heard of them. */
  public static List<MemberState> initialStates(int members, long incarnation) {
    List<MemberState> states = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      states.add(
          new MemberState(name(i), "10.0.0." + i + ":7946", Status.ALIVE, incarnation, false, name(i)));
    }
    return states;
  }

  private static String name(int number) {
    return String.format("n%04d", number);
  }

  private static int number(String name) {
    return Integer.parseInt(name.substring(1));
  }

  /** Runs the simulation up to a time, in ms. */
  public void runTo(double time) {
    clock.runTo(time);
  }

  public double now() {
    return clock.now();
  }

  /** Schedules a task for a time. */
  public void at(double time, Runnable task) {
    clock.at(time, task);
  }

  /** Starts a member for the first time or again; it knows only the addresses of the others. */
  public void start(int member) {
    Host host = hosts.get(member);
    host.life++;
    host.paused = false;
    host.deferred.clear();
    host.seed = seeds.nextLong();
    host.startedAt = clock.now();
    host.membership = initialMembership(member);
    host.live.set(0, initialStates.size());
    int life = host.life;
    clock.after(random.nextDouble() * settings.tickInterval(), () -> tick(host, life));
  }

  /** Returns a state machine as it was at the member's last start: the same events give the same actions. */
  public Membership initialMembership(int member) {
    Host host = hosts.get(member);
    return new Membership(settings, name(member), initialStates.get(member).address(), initialStates,
        RandomSource.XO_SHI_RO_256_PP.create(host.seed), host.startedAt);
  }

  /** Records the events of a member from now on, in a list that grows with them. */
  public List<TimedEvent> record(int member) {
    hosts.get(member).recorded = new ArrayList<>();
    return hosts.get(member).recorded;
  }

  /** Measures the time spent in the state machines, apart from the emulator's own, with a given clock. */
  public void measureWith(LongSupplier nanoseconds) {
    nanoClock = nanoseconds;
  }

  /** The time spent in the state machines so far. */
  public long stateMachineNanos() {
    return stateMachineNanos;
  }

  /** Stops a member without notifying the others. */
  public void kill(int member) {
    hosts.get(member).membership = null;
    hosts.get(member).life++;
  }

  /** Lets a member leave the fleet and stop. */
  public void leave(int member) {
    deliver(hosts.get(member), new MemberEvent.Leave());
    kill(member);
  }

  /** Pauses a member; its events are deferred until it is resumed. */
  public void pause(int member) {
    hosts.get(member).paused = true;
  }

  /** Resumes a member, which handles its deferred events at once. */
  public void resume(int member) {
    Host host = hosts.get(member);
    host.paused = false;
    List<Runnable> tasks = List.copyOf(host.deferred);
    host.deferred.clear();
    tasks.forEach(Runnable::run);
  }

  /** Sets the fraction of the messages from one member to another that is lost; 1 cuts the link. */
  public void setLoss(int from, int to, double fraction) {
    losses[from][to] = fraction;
  }

  /** Sets the fraction of the messages that is lost, for all links. */
  public void setLossEverywhere(double fraction) {
    Arrays.stream(losses).forEach(row -> Arrays.fill(row, fraction));
  }

  /** Sets the minimum delay and the maximum random delay in ms, and the fraction of duplicated messages. */
  public void setDelayAndDuplication(double minimum, double maxJitter, double duplication) {
    delay = minimum;
    jitter = maxJitter;
    duplicationRate = duplication;
  }

  /** The status of a member in the view of another; null if the observer does not know it or is down. */
  public Status view(int member, int observer) {
    Membership membership = hosts.get(observer).membership;
    return membership == null ? null : membership.view().stream()
        .filter(n -> n.member().equals(name(member))).map(MemberState::status).findFirst().orElse(null);
  }

  /** The state machine of a member; null while it is down. */
  public Membership membership(int member) {
    return hosts.get(member).membership;
  }

  /** Whether all running members have the same set of live members in their views. */
  public boolean viewsAgree() {
    return viewsAgree(member -> true);
  }

  /** The same for those running members that match a predicate on their numbers. */
  public boolean viewsAgree(IntPredicate selected) {
    return hosts.stream().filter(host -> host.membership != null && selected.test(host.number))
        .map(host -> host.live).distinct().count() <= 1;
  }

  /** All declarations of a member as dead so far, in order. */
  public List<Death> deaths() {
    return deaths;
  }

  /** The number of messages sent so far. */
  public long messages() {
    return messages;
  }

  /** The bytes of all datagrams. */
  public long bytes() {
    return traffic.datagramBytes();
  }

  /** The traffic of all members, including full views. */
  public MemberTraffic traffic() {
    return traffic;
  }

  private void tick(Host host, int life) {
    if (host.life == life && host.membership != null) {
      runOrDefer(host, () -> deliver(host, new MemberEvent.Tick()));
      clock.after(settings.tickInterval(), () -> tick(host, life));
    }
  }

  private void runOrDefer(Host host, Runnable task) {
    if (!host.paused) {
      task.run();
    } else if (host.deferred.size() < MAX_DEFERRED) {
      int life = host.life;
      host.deferred.add(() -> {
        if (host.life == life) {
          task.run();
        }
      });
    }
  }

  private void deliver(Host host, MemberEvent event) {
    if (host.membership == null) {
      return;
    }
    if (host.recorded != null) {
      host.recorded.add(new TimedEvent(clock.now(), event));
    }
    long begin = nanoClock.getAsLong();
    List<MemberAction> actions = host.membership.handle(clock.now(), event);
    stateMachineNanos += nanoClock.getAsLong() - begin;
    actions.forEach(action -> execute(host, action));
  }

  private void execute(Host host, MemberAction action) {
    if (action instanceof Send a) {
      send(host, hosts.get(number(a.to().member())), a.message());
    } else if (action instanceof Exchange a) {
      exchange(host, hosts.get(number(a.peer().member())));
    } else if (action instanceof ReportChange a) {
      statusChanged(host, number(a.state().member()), a.state().status());
    }
  }

  private void statusChanged(Host observer, int member, Status status) {
    observer.live.set(member, status == Status.ALIVE || status == Status.SUSPECT);
    if (status == Status.DEAD) {
      Host dead = hosts.get(member);
      boolean wasAlive = dead.membership != null;
      deaths.add(new Death(clock.now(), member, observer.number, wasAlive,
          wasAlive ? clock.now() - dead.startedAt : 0));
    }
  }

  private void send(Host from, Host to, Message message) {
    MemberWire.Datagram sent = wire.encode(message);
    messages++;
    traffic.datagram(from.number, clock.now(), sent.bytes());
    if (random.nextDouble() < losses[from.number][to.number]) {
      return;
    }
    deliverMessage(to, sent.delivered());
    if (random.nextDouble() < duplicationRate) {
      deliverMessage(to, sent.delivered());
    }
  }

  private void deliverMessage(Host to, Message message) {
    clock.after(delay + jitter * random.nextDouble(),
        () -> runOrDefer(to, () -> deliver(to, new MemberEvent.Received(message))));
  }

  /** Exchanges full views over a connection, which needs both directions of the link and is lossless. */
  private void exchange(Host one, Host other) {
    boolean isConnected = losses[one.number][other.number] < 1 && losses[other.number][one.number] < 1;
    if (!isConnected || other.membership == null || other.paused) {
      return;
    }
    List<MemberState> request = view(one);
    clock.after(3 * (delay + jitter), () -> {
      if (other.membership != null) {
        List<MemberState> response = view(other);
        deliver(other, new MemberEvent.ViewReceived(request));
        clock.after(delay + jitter,
            () -> runOrDefer(one, () -> deliver(one, new MemberEvent.ViewReceived(response))));
      }
    });
  }

  private List<MemberState> view(Host host) {
    List<MemberState> view = host.membership.view();
    traffic.view(host.number, clock.now(), wire.bytesOfView(view));
    return view;
  }
}
