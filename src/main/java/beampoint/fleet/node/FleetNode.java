package beampoint.fleet.node;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.fleet.membership.MemberAction;
import beampoint.fleet.membership.MemberAction.Changed;
import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberAction.Send;
import beampoint.fleet.membership.MemberEvent;
import beampoint.fleet.membership.Membership;
import beampoint.fleet.membership.MembershipSettings;
import beampoint.fleet.membership.Siblings;
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

/** A proxy as a member of its fleet: tells the state machine what comes, and carries out what it decides. */
public final class FleetNode {

  private static final Log LOG = Log.of("fleet");
  private static final double SETTLED_MS = 5_000; // that fewer members have to be seen before it counts

  private final FleetSettings settings;
  private final String name;
  private final long seed;
  private final MembershipSettings terms;
  private final ScheduledExecutorService loop;
  private final DoubleSupplier clock;
  private final Counters counters;
  private final Datagrams datagrams;
  private final ViewExchanger views;
  private final Siblings siblings;
  private final IntConsumer shared;
  private Membership membership; // belongs to the loop
  private volatile boolean started;

  /**
   * A member that is not listening yet.
   *
   * @param configured how many proxies there are by the settings
   * @param shared told, in the loop and with every step, among how many the load is shared
   */
  public FleetNode(FleetSettings settings, String name, long seed, MembershipSettings terms, int configured,
      IntConsumer shared, TCPNIOTransport transport, ScheduledExecutorService loop, DoubleSupplier clock,
      Counters counters) {
    this.siblings = new Siblings(configured, SETTLED_MS);
    this.shared = shared;
    this.settings = settings;
    this.name = name;
    this.seed = seed;
    this.terms = terms;
    this.loop = loop;
    this.clock = clock;
    this.counters = counters;
    Codec codec = new Codec(settings.cluster());
    this.datagrams = new Datagrams(codec, loop, counters, m -> give(new MemberEvent.Received(m)));
    this.views = new ViewExchanger(transport, loop, codec, counters, () -> membership.view(),
        view -> give(new MemberEvent.ViewReceived(view)));
  }

  /** Listens, and joins those that are there; the transport for views has been started. */
  public void start() throws IOException {
    started = true;
    InetSocketAddress address = views.listen(settings.listen());
    datagrams.listen(address);
    List<MemberState> known = new ArrayList<>();
    settings.peers()
        .forEach((peer, at) -> known.add(new MemberState(peer, Address.text(at), Status.ALIVE, 0, false, peer)));
    LOG.info(name + " is a member of " + settings.cluster() + " at " + Address.text(address));
    long step = (long) terms.tickInterval();
    loop.execute(() -> {
      membership = new Membership(terms, name, Address.text(address), known,
          RandomSource.XO_SHI_RO_256_PP.create(seed), clock.getAsDouble());
      loop.scheduleWithFixedDelay(this::step, 0, step, TimeUnit.MILLISECONDS);
    });
  }

  private void step() {
    give(new MemberEvent.Tick());
    shared.accept(siblings.number(clock.getAsDouble(), membership.liveCount(), membership.mayBeIsolated()));
  }

  /** Leaves in order, and listens no longer; from the loop. */
  public void leave() {
    give(new MemberEvent.Leave());
  }

  /** Stops at once, as a crash does. */
  public void close() throws IOException {
    if (started) {
      datagrams.close();
    }
  }

  /** How this member sees all; from the loop. */
  public List<MemberState> view() {
    return membership == null ? List.of() : membership.view();
  }

  private void give(MemberEvent event) {
    if (membership != null) {
      membership.handle(clock.getAsDouble(), event).forEach(this::carryOut);
    }
  }

  private void carryOut(MemberAction action) {
    if (action instanceof Send a) {
      InetSocketAddress to = dial(a.to());
      if (to != null) {
        datagrams.send(to, a.message());
      }
    } else if (action instanceof Exchange a) {
      InetSocketAddress with = dial(a.peer());
      if (with != null) {
        views.exchange(with);
      }
    } else if (action instanceof Changed a) {
      tell(a.state());
    }
  }

  /** Where a member is reached from here; null where it gave no address. */
  private InetSocketAddress dial(MemberState member) {
    InetSocketAddress other = settings.dial().get(member.member());
    return other != null ? other : Address.parse(member.address());
  }

  private void tell(MemberState news) {
    if (news.status() == Status.DEAD) {
      counters.add(Counter.MEMBERS_DIED);
    } else if (news.status() == Status.ALIVE) {
      counters.add(Counter.MEMBERS_BACK);
    }
    LOG.info("member " + news.member() + " is " + news.status() + (news.notReceiving() ? ", and hears nobody" : "")
        + ", by " + news.reporter() + ", incarnation " + news.incarnation());
  }
}
