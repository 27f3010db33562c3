package beampoint.fleet.membership;

import beampoint.fleet.membership.MemberAction.ReportChange;
import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberAction.Send;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Status;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Runs membership state machines on a simulated network in virtual time and computes a digest over the text
 * of all actions of all events. The digest depends only on the state machine, so it stays the same as long as
 * the decisions do; this class does not use the network emulator of the project.
 */
final class RecordedFleet {

  private static final int MAX_QUEUED = 200;

  /** A task to run at a time; tasks of the same time run in the order in which they were scheduled. */
  private record TimedTask(double time, long sequence, Runnable task) implements Comparable<TimedTask> {
    @Override
    public int compareTo(TimedTask other) {
      int byTime = Double.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private static final class Host {
    final int number;
    Membership membership; // null while it is down
    int starts;
    boolean paused;
    final List<MemberEvent> queued = new ArrayList<>();

    Host(int number) {
      this.number = number;
    }
  }

  private final MembershipSettings settings;
  private final List<MemberState> known;
  private final Random random;
  private final PriorityQueue<TimedTask> schedule = new PriorityQueue<>();
  private final List<Host> hosts = new ArrayList<>();
  private final MessageDigest digest;
  private final StringBuilder text = new StringBuilder();
  private BiPredicate<Integer, Integer> cutLinks = (from, to) -> false;
  private double loss;
  private double now;
  private long sequence;
  private long events;
  private long sends;
  private long exchanges;
  private long changes;

  /** Starts members that all know the same others at their start. */
  RecordedFleet(int members, MembershipSettings settings, List<MemberState> known, long seed) {
    this.settings = settings;
    this.known = known;
    this.random = new Random(seed);
    try {
      this.digest = MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
    for (int i = 0; i < members; i++) {
      hosts.add(new Host(i));
      start(i);
    }
  }

  static String name(int number) {
    return String.format("m%04d", number);
  }

  /** The first members by number, as others know them before receiving anything from them. */
  static List<MemberState> knownMembers(int count) {
    List<MemberState> states = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      states.add(new MemberState(name(i), address(i), Status.ALIVE, 0, false, name(i)));
    }
    return states;
  }

  private static String address(int number) {
    return "10.1.0." + number + ":7946";
  }

  int size() {
    return hosts.size();
  }

  double now() {
    return now;
  }

  Random random() {
    return random;
  }

  void loss(double fraction) {
    loss = fraction;
  }

  /** Cuts the links for which the predicate holds, in the direction from its first to its second member. */
  void cut(BiPredicate<Integer, Integer> links) {
    cutLinks = links;
  }

  void start(int member) {
    Host host = hosts.get(member);
    host.starts++;
    host.paused = false;
    host.queued.clear();
    host.membership = new Membership(settings, name(member), address(member), known,
        RandomSource.XO_SHI_RO_256_PP.create(random.nextLong()), now);
    int starts = host.starts;
    after(random.nextDouble() * settings.tickInterval(), () -> tick(host, starts));
  }

  boolean isUp(int member) {
    return hosts.get(member).membership != null;
  }

  void kill(int member) {
    hosts.get(member).membership = null;
    hosts.get(member).starts++;
  }

  void leave(int member) {
    handle(hosts.get(member), new MemberEvent.Leave());
    kill(member);
  }

  void pause(int member) {
    hosts.get(member).paused = true;
  }

  void resume(int member) {
    Host host = hosts.get(member);
    host.paused = false;
    List<MemberEvent> pending = List.copyOf(host.queued);
    host.queued.clear();
    pending.forEach(event -> handle(host, event));
  }

  void runTo(double time) {
    while (!schedule.isEmpty() && schedule.peek().time() <= time) {
      TimedTask next = schedule.poll();
      now = next.time();
      next.task().run();
    }
    now = time;
  }

  /** Counts and digest on one line. */
  String summary() {
    flush();
    return String.format("events=%d sends=%d exchanges=%d changes=%d sha256=%s", events, sends, exchanges,
        changes, HexFormat.of().formatHex(digest.digest()));
  }

  private void after(double wait, Runnable task) {
    schedule.add(new TimedTask(now + wait, sequence++, task));
  }

  private void tick(Host host, int starts) {
    if (host.starts == starts) {
      deliver(host, starts, new MemberEvent.Tick());
      after(settings.tickInterval(), () -> tick(host, starts));
    }
  }

  private void deliver(Host host, int starts, MemberEvent event) {
    if (host.starts != starts) {
      return;
    }
    if (!host.paused) {
      handle(host, event);
    } else if (host.queued.size() < MAX_QUEUED) {
      host.queued.add(event);
    }
  }

  private void handle(Host host, MemberEvent event) {
    if (host.membership == null) {
      return;
    }
    events++;
    List<MemberAction> actions = host.membership.handle(now, event);
    text.append(name(host.number)).append(' ').append(now).append(' ').append(host.membership.liveCount())
        .append(host.membership.mayBeIsolated() ? " doubts" : "").append('\n');
    actions.forEach(action -> write(action));
    if (text.length() > 1 << 16) {
      flush();
    }
    actions.forEach(action -> execute(host, action));
  }

  private void flush() {
    digest.update(text.toString().getBytes(StandardCharsets.UTF_8));
    text.setLength(0);
  }

  private void write(MemberAction action) {
    if (action instanceof Send a) {
      sends++;
      text.append("send ");
      write(a.to());
      Message message = a.message();
      text.append(message.kind()).append(' ').append(message.number()).append(' ').append(message.target())
          .append(' ');
      write(message.from());
      message.updates().forEach(this::write);
    } else if (action instanceof Exchange a) {
      exchanges++;
      text.append("exchange ");
      write(a.peer());
    } else if (action instanceof ReportChange a) {
      changes++;
      text.append("changed ");
      write(a.state());
    }
    text.append('\n');
  }

  private void write(MemberState state) {
    text.append(state.member()).append('|').append(state.address()).append('|').append(state.status())
        .append('|').append(state.incarnation()).append('|').append(state.notReceiving()).append('|')
        .append(state.reporter()).append(' ');
  }

  private void execute(Host host, MemberAction action) {
    if (action instanceof Send a) {
      send(host.number, number(a.to()), a.message());
    } else if (action instanceof Exchange a) {
      exchange(host, number(a.peer()));
    }
  }

  /** The number of a member; -1 for one that is known by name but does not exist. */
  private int number(MemberState state) {
    int number = Integer.parseInt(state.member().substring(1));
    return number < hosts.size() ? number : -1;
  }

  private void send(int from, int to, Message message) {
    if (to < 0 || cutLinks.test(from, to) || random.nextDouble() < loss) {
      return;
    }
    int copies = random.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      Host receiver = hosts.get(to);
      double extraDelay = random.nextInt(20) == 0 ? 80 * random.nextDouble() : 0;
      after(0.5 + 2 * random.nextDouble() + extraDelay,
          () -> deliver(receiver, receiver.starts, new MemberEvent.Received(message)));
    }
  }

  private void exchange(Host initiator, int peer) {
    if (peer < 0 || cutLinks.test(initiator.number, peer) || cutLinks.test(peer, initiator.number)) {
      return;
    }
    Host responder = hosts.get(peer);
    if (responder.membership == null || responder.paused) {
      return;
    }
    List<MemberState> sentView = initiator.membership.view();
    int starts = initiator.starts;
    after(3, () -> {
      if (responder.membership != null) {
        List<MemberState> returnedView = responder.membership.view();
        handle(responder, new MemberEvent.ViewReceived(sentView));
        after(2, () -> deliver(initiator, starts, new MemberEvent.ViewReceived(returnedView)));
      }
    });
  }
}
