package beampoint.fleet.membership;

import beampoint.fleet.membership.MemberAction.Changed;
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
 * Membership state machines on a network in virtual time, with a digest over the text of every action of
 * every event. It depends on nothing but the state machine, so that a digest stays the same as long as the
 * decisions do, whatever becomes of the emulator.
 */
final class RecordedFleet {

  private static final int MAX_WAITING = 200;

  /** Something that happens at a time; those of one time in the order in which they were planned. */
  private record Planned(double time, long sequence, Runnable task) implements Comparable<Planned> {
    @Override
    public int compareTo(Planned other) {
      int byTime = Double.compare(time, other.time);
      return byTime != 0 ? byTime : Long.compare(sequence, other.sequence);
    }
  }

  private static final class Host {
    final int number;
    Membership membership; // null while it is down
    int life;
    boolean paused;
    final List<MemberEvent> waiting = new ArrayList<>();

    Host(int number) {
      this.number = number;
    }
  }

  private final MembershipSettings terms;
  private final List<MemberState> known;
  private final Random random;
  private final PriorityQueue<Planned> planned = new PriorityQueue<>();
  private final List<Host> hosts = new ArrayList<>();
  private final MessageDigest digest;
  private final StringBuilder text = new StringBuilder();
  private BiPredicate<Integer, Integer> cut = (from, to) -> false;
  private double loss;
  private double now;
  private long sequence;
  private long events;
  private long sends;
  private long exchanges;
  private long changes;

  /** So many members, each of which knows the same others at its start. */
  RecordedFleet(int members, MembershipSettings terms, List<MemberState> known, long seed) {
    this.terms = terms;
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

  /** The first so many members, as others know them before they have heard of them. */
  static List<MemberState> knownMembers(int count) {
    List<MemberState> news = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      news.add(new MemberState(name(i), address(i), Status.ALIVE, 0, false, name(i)));
    }
    return news;
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

  void loss(double part) {
    loss = part;
  }

  /** Cuts the links for which it holds, in the direction from the first to the second. */
  void cut(BiPredicate<Integer, Integer> links) {
    cut = links;
  }

  void start(int member) {
    Host host = hosts.get(member);
    host.life++;
    host.paused = false;
    host.waiting.clear();
    host.membership = new Membership(terms, name(member), address(member), known,
        RandomSource.XO_SHI_RO_256_PP.create(random.nextLong()), now);
    int life = host.life;
    after(random.nextDouble() * terms.tickInterval(), () -> tick(host, life));
  }

  boolean isUp(int member) {
    return hosts.get(member).membership != null;
  }

  void kill(int member) {
    hosts.get(member).membership = null;
    hosts.get(member).life++;
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
    List<MemberEvent> waited = List.copyOf(host.waiting);
    host.waiting.clear();
    waited.forEach(event -> handle(host, event));
  }

  void runTo(double time) {
    while (!planned.isEmpty() && planned.peek().time() <= time) {
      Planned next = planned.poll();
      now = next.time();
      next.task().run();
    }
    now = time;
  }

  /** Counts and digest, in one line. */
  String summary() {
    flush();
    return String.format("events=%d sends=%d exchanges=%d changes=%d sha256=%s", events, sends, exchanges,
        changes, HexFormat.of().formatHex(digest.digest()));
  }

  private void after(double wait, Runnable task) {
    planned.add(new Planned(now + wait, sequence++, task));
  }

  private void tick(Host host, int life) {
    if (host.life == life) {
      take(host, life, new MemberEvent.Tick());
      after(terms.tickInterval(), () -> tick(host, life));
    }
  }

  private void take(Host host, int life, MemberEvent event) {
    if (host.life != life) {
      return;
    }
    if (!host.paused) {
      handle(host, event);
    } else if (host.waiting.size() < MAX_WAITING) {
      host.waiting.add(event);
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
    actions.forEach(action -> carryOut(host, action));
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
      text.append(message.kind()).append(' ').append(message.number()).append(' ').append(message.about())
          .append(' ');
      write(message.from());
      message.news().forEach(this::write);
    } else if (action instanceof Exchange a) {
      exchanges++;
      text.append("exchange ");
      write(a.peer());
    } else if (action instanceof Changed a) {
      changes++;
      text.append("changed ");
      write(a.state());
    }
    text.append('\n');
  }

  private void write(MemberState news) {
    text.append(news.member()).append('|').append(news.address()).append('|').append(news.status())
        .append('|').append(news.incarnation()).append('|').append(news.notReceiving()).append('|').append(news.reporter())
        .append(' ');
  }

  private void carryOut(Host host, MemberAction action) {
    if (action instanceof Send a) {
      send(host.number, number(a.to()), a.message());
    } else if (action instanceof Exchange a) {
      exchange(host, number(a.peer()));
    }
  }

  /** The number of a member; one that is only known by name, and does not exist, has none. */
  private int number(MemberState news) {
    int number = Integer.parseInt(news.member().substring(1));
    return number < hosts.size() ? number : -1;
  }

  private void send(int from, int to, Message message) {
    if (to < 0 || cut.test(from, to) || random.nextDouble() < loss) {
      return;
    }
    int copies = random.nextInt(50) == 0 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      Host receiver = hosts.get(to);
      double late = random.nextInt(20) == 0 ? 80 * random.nextDouble() : 0;
      after(0.5 + 2 * random.nextDouble() + late,
          () -> take(receiver, receiver.life, new MemberEvent.Received(message)));
    }
  }

  private void exchange(Host one, int with) {
    if (with < 0 || cut.test(one.number, with) || cut.test(with, one.number)) {
      return;
    }
    Host other = hosts.get(with);
    if (other.membership == null || other.paused) {
      return;
    }
    List<MemberState> asked = one.membership.view();
    int life = one.life;
    after(3, () -> {
      if (other.membership != null) {
        List<MemberState> answer = other.membership.view();
        handle(other, new MemberEvent.ViewReceived(asked));
        after(2, () -> take(one, life, new MemberEvent.ViewReceived(answer)));
      }
    });
  }
}
