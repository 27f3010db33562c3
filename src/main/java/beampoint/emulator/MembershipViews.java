package beampoint.emulator;

import beampoint.fleet.membership.MemberAction;
import beampoint.fleet.membership.MemberAction.Changed;
import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberAction.Send;
import beampoint.fleet.membership.MemberEvent;
import beampoint.fleet.membership.Membership;
import beampoint.fleet.membership.MembershipSettings;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MalformedMessageException;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Status;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * How the hosts see each other by the state machine of membership, one for each, over the same network and at
 * the expense of bytes of its own. Whole views are exchanged over a connection that loses nothing.
 */
final class MembershipViews implements Views {

  private static final long MAX_DETECTION = 3_600_000; // ms
  private static final double WRONG_AFTER = 5_000; // ms that a host could be reached before it was buried

  private final Clock clock;
  private final ControlNetwork network;
  private final List<ControlHost> hosts;
  private final FleetLayout layout;
  private final Consumer<ControlHost> viewChanged;
  private final UniformRandomProvider random;
  private final MembershipSettings terms = MembershipSettings.defaults();
  private final Codec codec = new Codec("emulated");
  private final List<MemberState> known = new ArrayList<>();
  private final SiteNeighbours neighbours;
  private final double[] changedAt; // when a host was last killed, started, cut off or healed
  private final Histogram detection = new Histogram(MAX_DETECTION, 3);
  private long wronglyDead;
  private long bytes; // sent and received, whole views among them
  private long exchangedBytes;

  MembershipViews(Clock clock, FleetLayout layout, List<ControlHost> hosts, ControlNetwork network,
      UniformRandomProvider random, Consumer<ControlHost> viewChanged) {
    this.clock = clock;
    this.layout = layout;
    this.hosts = hosts;
    this.network = network;
    this.random = random;
    this.viewChanged = viewChanged;
    this.neighbours = new SiteNeighbours(layout);
    this.changedAt = new double[layout.hosts()];
    for (int i = 0; i < layout.hosts(); i++) {
      String name = layout.member(i).name();
      known.add(new MemberState(name, "10." + i / 62_500 + "." + i / 250 % 250 + "." + i % 250 + ":7946",
          Status.ALIVE, 0, false, name));
    }
  }

  @Override
  public List<Integer> ofInterest(ControlHost host) {
    return neighbours.of(host.member);
  }

  @Override
  public void started(ControlHost host) {
    host.dead.clear();
    host.membership = new Membership(terms, host.member.name(), known.get(host.number).address(), known,
        RandomSource.XO_SHI_RO_256_PP.create(random.nextLong()), host.localTime(clock.now()));
    long life = host.life;
    clock.after(random.nextDouble() * terms.tickInterval(), () -> tick(host, life));
  }

  private void tick(ControlHost host, long life) {
    if (host.isUp() && host.life == life) {
      if (!host.isPaused()) {
        give(host, new MemberEvent.Tick());
      }
      clock.after(terms.tickInterval(), () -> tick(host, life));
    }
  }

  @Override
  public void changed(List<Integer> numbers) {
    numbers.forEach(number -> changedAt[number] = clock.now());
  }

  @Override
  public void countFromNow() {
    detection.reset();
    wronglyDead = 0;
    bytes = 0;
    exchangedBytes = 0;
  }

  private void give(ControlHost host, MemberEvent event) {
    if (host.isUp()) {
      host.membership.handle(host.localTime(clock.now()), event).forEach(action -> carryOut(host, action));
    }
  }

  private void carryOut(ControlHost host, MemberAction action) {
    if (action instanceof Send send) {
      send(host, hosts.get(layout.number(send.to().member())), send.message());
    } else if (action instanceof Exchange exchange) {
      exchange(host, hosts.get(layout.number(exchange.peer().member())));
    } else if (action instanceof Changed changed) {
      note(host, changed.state());
    }
  }

  private void note(ControlHost host, MemberState news) {
    int other = layout.number(news.member());
    boolean isDead = news.status() == Status.DEAD || news.status() == Status.LEFT;
    if (isDead) {
      boolean isOwn = news.reporter().equals(host.member.name());
      boolean lives = hosts.get(other).isUp() && reaches(host, hosts.get(other));
      double since = clock.now() - Math.max(changedAt[host.number], changedAt[other]);
      if (!lives && network.partition(host.number) == 0) {
        detection.recordValue(Math.min(MAX_DETECTION, (long) since));
      } else if (lives && isOwn && since > WRONG_AFTER) {
        wronglyDead++;
      }
    }
    boolean isOther = isDead ? host.dead.add(news.member()) : host.dead.remove(news.member());
    if (isOther && neighbours.of(host.member).contains(other)) {
      viewChanged.accept(host);
    }
  }

  private boolean reaches(ControlHost from, ControlHost to) {
    return network.partition(from.number) == network.partition(to.number);
  }

  private void send(ControlHost from, ControlHost to, Message message) {
    byte[] sent = codec.write(message);
    bytes += sent.length;
    for (int copies = network.copies(from.number, to.number); copies > 0; copies--) {
      clock.after(network.delay(from.number, to.number), () -> deliver(from, to, sent));
    }
  }

  private void deliver(ControlHost from, ControlHost to, byte[] sent) {
    if (to.isUp() && reaches(from, to)) {
      bytes += sent.length;
      long life = to.life;
      to.runOrDefer(() -> {
        if (to.life == life) {
          give(to, new MemberEvent.Received(read(sent)));
        }
      });
    }
  }

  private Message read(byte[] sent) {
    try {
      return codec.read(sent, sent.length);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Both whole views, each way; how long a connection takes. */
  private void exchange(ControlHost one, ControlHost other) {
    if (!reaches(one, other) || !other.isUp() || other.isPaused()) {
      return;
    }
    List<MemberState> asked = one.membership.view();
    count(asked);
    clock.after(3 * network.delay(one.number, other.number), () -> {
      if (other.isUp() && reaches(one, other)) {
        List<MemberState> answer = other.membership.view();
        count(answer);
        give(other, new MemberEvent.ViewReceived(asked));
        clock.after(network.delay(other.number, one.number),
            () -> one.runOrDefer(() -> give(one, new MemberEvent.ViewReceived(answer))));
      }
    });
  }

  private void count(List<MemberState> view) {
    int length = 2 * codec.writeView(view).length;
    bytes += length;
    exchangedBytes += length;
  }

  /** How often a host itself declared one dead that ran and could be reached for 5 s. */
  long wronglyDead() {
    return wronglyDead;
  }

  /**
   * From when a host was killed or cut off to when one of the greater part held it for dead: 99 of 100. Who
   * is cut off with a few others doubts itself, and is slow to bury the rest on purpose.
   */
  double detectP99() {
    return detection.getValueAtPercentile(99);
  }

  /** Sent and received, over all hosts. */
  long bytes() {
    return bytes;
  }

  /** Of whole views among them. */
  long exchangedBytes() {
    return exchangedBytes;
  }
}
