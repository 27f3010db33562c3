package beampoint.fleet.node;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.fleet.membership.MemberAction;
import beampoint.fleet.membership.MemberAction.ReportChange;
import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberAction.Send;
import beampoint.fleet.membership.MemberEvent;
import beampoint.fleet.membership.Membership;
import beampoint.fleet.membership.MembershipSettings;
import beampoint.fleet.membership.SiblingCount;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;
import beampoint.fleet.transport.Datagrams;
import beampoint.fleet.transport.ViewExchanger;
import beampoint.log.Log;
import beampoint.settings.Address;
import beampoint.settings.FleetSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import java.util.function.IntConsumer;
import org.apache.commons.rng.simple.RandomSource;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * A proxy as a member of its fleet: passes received messages and ticks to the membership state machine and
 * executes the resulting actions.
 */
public final class FleetNode {

  private static final Log LOG = Log.of("fleet");
  // how long a lower number of siblings must be observed before it is used
  private static final double SIBLING_SETTLE_MS = 5_000;

  private final FleetSettings settings;
  private final String name;
  private final long seed;
  private final MembershipSettings membershipSettings;
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Counters counters;
  private final Datagrams datagrams;
  private final ViewExchanger viewExchanger;
  private final SiblingCount siblingCount;
  private final IntConsumer siblingListener;
  private Membership membership; // accessed only in the event loop
  private volatile boolean started;

  /**
   * Creates a member that is not listening yet.
   *
   * @param seed the seed of the random numbers of the state machine
   * @param configured the configured number of proxies
   * @param siblingListener receives the number of proxies that share the load, in the event loop at every
   *     tick
   * @param clock the time in ms
   */
  public FleetNode(FleetSettings settings, String name, long seed, MembershipSettings membershipSettings,
      int configured, IntConsumer siblingListener, TCPNIOTransport transport, ScheduledExecutorService loop,
      DoubleSupplier clock, Counters counters) {
    this.siblingCount = new SiblingCount(configured, SIBLING_SETTLE_MS);
    this.siblingListener = siblingListener;
    this.settings = settings;
    this.name = name;
    this.seed = seed;
    this.membershipSettings = membershipSettings;
    this.loop = loop;
    this.clock = clock;
    this.counters = counters;
    Codec codec = new Codec(settings.cluster());
    this.datagrams = new Datagrams(codec, loop, counters, m -> handle(new MemberEvent.Received(m)));
    this.viewExchanger = new ViewExchanger(transport, loop, codec, counters, () -> membership.view(),
        view -> handle(new MemberEvent.ViewReceived(view)));
  }

  /** Starts to listen and joins the fleet. The transport for views must have been started. */
  public void start() throws IOException {
    started = true;
    InetSocketAddress address = viewExchanger.listen(settings.listen());
    datagrams.listen(address);
    List<MemberState> known = new ArrayList<>();
    settings.peers()
        .forEach((peer, at) -> known
            .add(new MemberState(peer, Address.format(at), Status.ALIVE, 0, false, peer)));
    LOG.info(name + " is a member of " + settings.cluster() + " at " + Address.format(address));
    long tickMs = (long) membershipSettings.tickInterval();
    loop.execute(() -> {
      membership = new Membership(membershipSettings, name, Address.format(address), known,
          RandomSource.XO_SHI_RO_256_PP.create(seed), clock.getAsDouble());
      loop.scheduleWithFixedDelay(this::tick, 0, tickMs, TimeUnit.MILLISECONDS);
    });
  }

  private void tick() {
    handle(new MemberEvent.Tick());
    siblingListener.accept(
        siblingCount.update(clock.getAsDouble(), membership.liveCount(), membership.mayBeIsolated()));
  }

  /**
   * Leaves the fleet in an orderly shutdown; later messages are ignored. Must be called in the event loop.
   */
  public void leave() {
    handle(new MemberEvent.Leave());
  }

  /** Closes the datagram socket without leaving the fleet, as a crash would. */
  public void close() throws IOException {
    if (started) {
      datagrams.close();
    }
  }

  /** The view of this member, empty before its start. Must be called in the event loop. */
  public List<MemberState> view() {
    return membership == null ? List.of() : membership.view();
  }

  private void handle(MemberEvent event) {
    if (membership != null) {
      membership.handle(clock.getAsDouble(), event).forEach(this::execute);
    }
  }

  private void execute(MemberAction action) {
    if (action instanceof Send a) {
      InetSocketAddress to = resolve(a.to());
      if (to != null) {
        datagrams.send(to, a.message());
      }
    } else if (action instanceof Exchange a) {
      InetSocketAddress peer = resolve(a.peer());
      if (peer != null) {
        viewExchanger.exchange(peer);
      }
    } else if (action instanceof ReportChange a) {
      report(a.state());
    }
  }

  /** The address at which a member can be reached from here; null if it announced none. */
  private InetSocketAddress resolve(MemberState member) {
    InetSocketAddress override = settings.dial().get(member.member());
    return override != null ? override : Address.parse(member.address());
  }

  private void report(MemberState state) {
    if (state.status() == Status.DEAD) {
      counters.add(Counter.MEMBERS_DIED);
    } else if (state.status() == Status.ALIVE) {
      counters.add(Counter.MEMBERS_BACK);
    }
    LOG.info("member " + state.member() + " is " + state.status()
        + (state.notReceiving() ? ", receives no messages" : "") + ", reported by " + state.reporter()
        + ", incarnation " + state.incarnation());
  }
}
