package beampoint.emulator;

import beampoint.fleet.membership.MemberAction;
import beampoint.fleet.membership.MemberAction.Changed;
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
 * Members of a fleet in virtual time, each the state machine that serves, with a link of its own between each
 * two of them: it may lose, delay, repeat and overtake, and be cut in one direction. Members may stand still,
 * be killed and start again.
 */
public final class MemberFleet {

  /**
   * Who was declared dead, or became known as dead, to whom and when; {@code wasAlive} tells that it
   * was wrong.
   *
   * @param ranFor for how long the member had run since it was started, in ms; 0 where it was down
   */
  public record Death(double at, int member, int observer, boolean wasAlive, double ranFor) {}

  /** What one member was told, and when. */
  public record TimedEvent(double at, MemberEvent event) {}

  private static final class Host {
    final int number;
    Membership membership; // null while it is down
    long seed;
    double startedAt;
    int life;
    boolean paused;
    final BitSet living = new BitSet(); // in its view, kept by what it says has changed
    List<TimedEvent> recorded; // null where nobody asked for it
    final List<Runnable> waiting = new ArrayList<>(); // for the end of its pause

    Host(int number) {
      this.number = number;
    }
  }

  private static final long FIRST_INCARNATION = 1; // with which a member begins

  private final Clock clock = new Clock(0);
  private final MembershipSettings terms;
  private final UniformRandomProvider random;
  private final UniformRandomProvider seeds;
  private final List<Host> hosts = new ArrayList<>();
  private final List<MemberState> known;
  private final double[][] losses;
  private final List<Death> deaths = new ArrayList<>();
  private double delay = 0.5;
  private double jitter = 2;
  private double repeats;
  private long messages;
  private final MemberTraffic traffic;
  private final MemberWire wire = new MemberWire(new Codec("emulated"));
  private LongSupplier nanoClock = () -> 0;
  private long stateMachineNanos;

  /** So many members that all know each other's addresses, and have heard of none yet. */
  public MemberFleet(int members, MembershipSettings terms, long seed) {
    this(terms, seed, initialStates(members, 0));
  }

  /** The same long after they were started: none is news to another. */
  public static MemberFleet settled(int members, MembershipSettings terms, long seed) {
    return new MemberFleet(terms, seed, initialStates(members, FIRST_INCARNATION));
  }

  private MemberFleet(MembershipSettings terms, long seed, List<MemberState> known) {
    int members = known.size();
    this.terms = terms;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.seeds = RandomSource.SPLIT_MIX_64.create(seed);
    this.losses = new double[members][members];
    this.traffic = new MemberTraffic(members);
    this.known = known;
    for (int i = 0; i < members; i++) {
      hosts.add(new Host(i));
      start(i);
    }
  }

  /** So many members, as each knows the others; under incarnation 0 before it has heard of them. */
  public static List<MemberState> initialStates(int members, long incarnation) {
    List<MemberState> known = new ArrayList<>();
    for (int i = 0; i < members; i++) {
      known.add(new MemberState(name(i), "10.0.0." + i + ":7946", Status.ALIVE, incarnation, false, name(i)));
    }
    return known;
  }

  private static String name(int number) {
    return String.format("n%04d", number);
  }

  private static int number(String name) {
    return Integer.parseInt(name.substring(1));
  }

  /** Plays on to a time, in ms. */
  public void runTo(double time) {
    clock.runTo(time);
  }

  public double now() {
    return clock.now();
  }

  /** Plans something for a time. */
  public void at(double time, Runnable task) {
    clock.at(time, task);
  }

  /** Starts a member, or one that is down again: it knows the addresses and nothing else. */
  public void start(int member) {
    Host host = hosts.get(member);
    host.life++;
    host.paused = false;
    host.waiting.clear();
    host.seed = seeds.nextLong();
    host.startedAt = clock.now();
    host.membership = initialMembership(member);
    host.living.set(0, known.size());
    int life = host.life;
    clock.after(random.nextDouble() * terms.tickInterval(), () -> tick(host, life));
  }

  /** A machine as the member's present one was at its start: the same events give the same actions. */
  public Membership initialMembership(int member) {
    Host host = hosts.get(member);
    return new Membership(terms, name(member), known.get(member).address(), known,
        RandomSource.XO_SHI_RO_256_PP.create(host.seed), host.startedAt);
  }

  /** The events of a member from now on, in a list that grows with them. */
  public List<TimedEvent> record(int member) {
    hosts.get(member).recorded = new ArrayList<>();
    return hosts.get(member).recorded;
  }

  /** Measures the state machines' own time, apart from the emulator's, by a clock of the caller's. */
  public void measureWith(LongSupplier nanoseconds) {
    nanoClock = nanoseconds;
  }

  /** What the state machines have taken so far. */
  public long stateMachineNanos() {
    return stateMachineNanos;
  }

  public void kill(int member) {
    hosts.get(member).membership = null;
    hosts.get(member).life++;
  }

  /** Ends in order. */
  public void leave(int member) {
    give(hosts.get(member), new MemberEvent.Leave());
    kill(member);
  }

  /** It stands still; what comes for it waits. */
  public void pause(int member) {
    hosts.get(member).paused = true;
  }

  public void resume(int member) {
    Host host = hosts.get(member);
    host.paused = false;
    List<Runnable> waited = List.copyOf(host.waiting);
    host.waiting.clear();
    waited.forEach(Runnable::run);
  }

  /** Sets the part of the messages from one member to another that is lost; 1 cuts the link. */
  public void setLoss(int from, int to, double part) {
    losses[from][to] = part;
  }

  public void setLossEverywhere(double part) {
    Arrays.stream(losses).forEach(row -> Arrays.fill(row, part));
  }

  /** How late messages come: always so many ms, and up to so many more. */
  public void delay(double always, double more, double repeated) {
    delay = always;
    jitter = more;
    repeats = repeated;
  }

  /** How one member sees another; null where it does not know of it, or is down. */
  public Status view(int of, int by) {
    Membership membership = hosts.get(by).membership;
    return membership == null ? null : membership.view().stream()
        .filter(n -> n.member().equals(name(of))).map(MemberState::status).findFirst().orElse(null);
  }

  /** The member's machine; null while it is down. */
  public Membership membership(int member) {
    return hosts.get(member).membership;
  }

  /** True where all that run see the same members live. */
  public boolean viewsAgree() {
    return viewsAgree(member -> true);
  }

  /** True where all that run, of some members, see the same members live. */
  public boolean viewsAgree(IntPredicate among) {
    return hosts.stream().filter(host -> host.membership != null && among.test(host.number))
        .map(host -> host.living).distinct().count() <= 1;
  }

  public List<Death> deaths() {
    return deaths;
  }

  public long messages() {
    return messages;
  }

  /** Of all datagrams together. */
  public long bytes() {
    return traffic.datagramBytes();
  }

  /** What they sent, whole views included. */
  public MemberTraffic traffic() {
    return traffic;
  }

  private void tick(Host host, int life) {
    if (host.life == life && host.membership != null) {
      runOrDefer(host, () -> give(host, new MemberEvent.Tick()));
      clock.after(terms.tickInterval(), () -> tick(host, life));
    }
  }

  private void runOrDefer(Host host, Runnable task) {
    if (!host.paused) {
      task.run();
    } else if (host.waiting.size() < 200) { // as a socket's buffer holds
      int life = host.life;
      host.waiting.add(() -> {
        if (host.life == life) {
          task.run();
        }
      });
    }
  }

  private void give(Host host, MemberEvent event) {
    if (host.membership == null) {
      return;
    }
    if (host.recorded != null) {
      host.recorded.add(new TimedEvent(clock.now(), event));
    }
    long begin = nanoClock.getAsLong();
    List<MemberAction> actions = host.membership.handle(clock.now(), event);
    stateMachineNanos += nanoClock.getAsLong() - begin;
    actions.forEach(action -> carryOut(host, action));
  }

  private void carryOut(Host host, MemberAction action) {
    if (action instanceof Send a) {
      send(host, hosts.get(number(a.to().member())), a.message());
    } else if (action instanceof Exchange a) {
      exchange(host, hosts.get(number(a.peer().member())));
    } else if (action instanceof Changed a) {
      changed(host, number(a.state().member()), a.state().status());
    }
  }

  private void changed(Host by, int of, Status status) {
    by.living.set(of, status == Status.ALIVE || status == Status.SUSPECT);
    if (status == Status.DEAD) {
      Host dead = hosts.get(of);
      boolean lived = dead.membership != null;
      deaths.add(new Death(clock.now(), of, by.number, lived, lived ? clock.now() - dead.startedAt : 0));
    }
  }

  private void send(Host from, Host to, Message message) {
    MemberWire.Datagram sent = wire.datagram(message);
    messages++;
    traffic.datagram(from.number, clock.now(), sent.bytes());
    if (random.nextDouble() < losses[from.number][to.number]) {
      return;
    }
    deliver(to, sent.arrives());
    if (random.nextDouble() < repeats) {
      deliver(to, sent.arrives());
    }
  }

  private void deliver(Host to, Message message) {
    clock.after(delay + jitter * random.nextDouble(),
        () -> runOrDefer(to, () -> give(to, new MemberEvent.Received(message))));
  }

  /** A connection: it stands where both directions do, and loses nothing. */
  private void exchange(Host one, Host other) {
    boolean stands = losses[one.number][other.number] < 1 && losses[other.number][one.number] < 1;
    if (!stands || other.membership == null || other.paused) {
      return;
    }
    List<MemberState> asked = view(one);
    clock.after(3 * (delay + jitter), () -> {
      if (other.membership != null) {
        List<MemberState> answer = view(other);
        give(other, new MemberEvent.ViewReceived(asked));
        clock.after(delay + jitter,
            () -> runOrDefer(one, () -> give(one, new MemberEvent.ViewReceived(answer))));
      }
    });
  }

  private List<MemberState> view(Host of) {
    List<MemberState> view = of.membership.view();
    traffic.view(of.number, clock.now(), wire.bytesOfView(view));
    return view;
  }
}
