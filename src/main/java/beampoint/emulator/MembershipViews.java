package beampoint.emulator;

import beampoint.fleet.membership.MemberAction;
import beampoint.fleet.membership.MemberAction.ReportChange;
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
 * The hosts' views of each other by the membership protocol: each host runs its state machine over the
 * emulated network, and the bytes of its messages are counted. Full views are exchanged over a lossless
 * connection.
 */
final class MembershipViews implements Views {

  private static final long MAX_DETECTION_MS = 3_600_000;
  /**
   * A death is a false positive if the host was up and reachable for this long before it was declared dead.
   */
  private static final double FALSE_POSITIVE_AFTER_MS = 5_000;

  private final Clock clock;
  private final ControlNetwork network;
  private final List<ControlHost> hosts;
  private final FleetLayout layout;
  private final Consumer<ControlHost> viewChanged;
  private final UniformRandomProvider random;
  private final MembershipSettings settings = MembershipSettings.defaults();
  private final Codec codec = new Codec("emulated");
  private final List<MemberState> initialStates = new ArrayList<>();
  private final PossiblePeers possiblePeers;
  private final double[] changedAt; // when each host was last killed, started, cut off or reconnected
  private final Histogram detection = new Histogram(MAX_DETECTION_MS, 3);
  private long wronglyDead;
  private long bytes; // sent and received, including full views
  private long exchangedBytes;

  MembershipViews(Clock clock, FleetLayout layout, List<ControlHost> hosts, ControlNetwork network,
      UniformRandomProvider random, Consumer<ControlHost> viewChanged) {
    this.clock = clock;
    this.layout = layout;
    this.hosts = hosts;
    this.network = network;
    this.random = random;
    this.viewChanged = viewChanged;
    this.possiblePeers = new PossiblePeers(layout);
    this.changedAt = new double[layout.hosts()];
    for (int i = 0; i < layout.hosts(); i++) {
      String name = layout.member(i).name();
      initialStates.add(new MemberState(name,
          "10." + i / 62_500 + "." + i / 250 % 250 + "." + i % 250 + ":7946", Status.ALIVE, 0, false, name));
    }
  }

  @Override
  public List<Integer> possiblePeers(ControlHost host) {
    return possiblePeers.of(host.member);
  }

  @Override
  public void started(ControlHost host) {
    host.dead.clear();
    host.membership = new Membership(settings, host.member.name(), initialStates.get(host.number).address(),
        initialStates, RandomSource.XO_SHI_RO_256_PP.create(random.nextLong()), host.localTime(clock.now()));
    long life = host.life;
    clock.after(random.nextDouble() * settings.tickInterval(), () -> tick(host, life));
  }

  private void tick(ControlHost host, long life) {
    if (host.isUp() && host.life == life) {
      if (!host.isPaused()) {
        deliver(host, new MemberEvent.Tick());
      }
      clock.after(settings.tickInterval(), () -> tick(host, life));
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

  private void deliver(ControlHost host, MemberEvent event) {
    if (host.isUp()) {
      host.membership.handle(host.localTime(clock.now()), event).forEach(action -> execute(host, action));
    }
  }

  private void execute(ControlHost host, MemberAction action) {
    if (action instanceof Send send) {
      send(host, hosts.get(layout.hostNumber(send.to().member())), send.message());
    } else if (action instanceof Exchange exchange) {
      exchange(host, hosts.get(layout.hostNumber(exchange.peer().member())));
    } else if (action instanceof ReportChange changed) {
      recordChange(host, changed.state());
    }
  }

  private void recordChange(ControlHost host, MemberState state) {
    int other = layout.hostNumber(state.member());
    boolean isDead = state.status() == Status.DEAD || state.status() == Status.LEFT;
    if (isDead) {
      boolean isOwnVerdict = state.reporter().equals(host.member.name());
      boolean isReachable = hosts.get(other).isUp() && reaches(host, hosts.get(other));
      double since = clock.now() - Math.max(changedAt[host.number], changedAt[other]);
      if (!isReachable && network.partition(host.number) == 0) {
        detection.recordValue(Math.min(MAX_DETECTION_MS, (long) since));
      } else if (isReachable && isOwnVerdict && since > FALSE_POSITIVE_AFTER_MS) {
        wronglyDead++;
      }
    }
    boolean isViewChanged = isDead ? host.dead.add(state.member()) : host.dead.remove(state.member());
    if (isViewChanged && possiblePeers.of(host.member).contains(other)) {
      viewChanged.accept(host);
    }
  }

  private boolean reaches(ControlHost from, ControlHost to) {
    return network.partition(from.number) == network.partition(to.number);
  }

  private void send(ControlHost from, ControlHost to, Message message) {
    byte[] datagram = codec.write(message);
    bytes += datagram.length;
    for (int copies = network.copies(from.number, to.number); copies > 0; copies--) {
      clock.after(network.delay(from.number, to.number), () -> deliverMessage(from, to, datagram));
    }
  }

  private void deliverMessage(ControlHost from, ControlHost to, byte[] datagram) {
    if (to.isUp() && reaches(from, to)) {
      bytes += datagram.length;
      long life = to.life;
      to.runOrDefer(() -> {
        if (to.life == life) {
          deliver(to, new MemberEvent.Received(read(datagram)));
        }
      });
    }
  }

  private Message read(byte[] datagram) {
    try {
      return codec.read(datagram, datagram.length);
    } catch (MalformedMessageException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Exchanges full views in both directions, with the delays of opening a connection. */
  private void exchange(ControlHost one, ControlHost other) {
    if (!reaches(one, other) || !other.isUp() || other.isPaused()) {
      return;
    }
    List<MemberState> request = one.membership.view();
    count(request);
    clock.after(3 * network.delay(one.number, other.number), () -> {
      if (other.isUp() && reaches(one, other)) {
        List<MemberState> response = other.membership.view();
        count(response);
        deliver(other, new MemberEvent.ViewReceived(request));
        clock.after(network.delay(other.number, one.number),
            () -> one.runOrDefer(() -> deliver(one, new MemberEvent.ViewReceived(response))));
      }
    });
  }

  private void count(List<MemberState> view) {
    int length = 2 * codec.writeView(view).length;
    bytes += length;
    exchangedBytes += length;
  }

  /** How often a host itself declared another dead that had been up and reachable for 5 s. */
  long wronglyDead() {
    return wronglyDead;
  }

  /**
   * The 99th percentile of the time in ms from when a host was killed or cut off until a host in partition 0,
   * the main one, declared it dead. Declarations by hosts in other partitions are not counted: a host that is
   * cut off with a few others suspects that it is isolated itself, and declares the rest dead later on
   * purpose.
   */
  double detectP99() {
    return detection.getValueAtPercentile(99);
  }

  /** Bytes sent and received by all hosts, including full views. */
  long bytes() {
    return bytes;
  }

  /** Bytes of full views, sent and received by all hosts. */
  long exchangedBytes() {
    return exchangedBytes;
  }
}
