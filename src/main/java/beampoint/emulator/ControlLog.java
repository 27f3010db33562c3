package beampoint.emulator;

import beampoint.fleet.changes.Change;
import beampoint.fleet.changes.ChangeCodec;
import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ChangeId;
import beampoint.fleet.changes.ControlNode;
import beampoint.fleet.changes.LogAction;
import beampoint.fleet.changes.LogAction.Answer;
import beampoint.fleet.changes.LogAction.Deliver;
import beampoint.fleet.changes.LogAction.Install;
import beampoint.fleet.changes.LogAction.Send;
import beampoint.fleet.changes.LogLimits;
import beampoint.fleet.changes.LogMessage;
import beampoint.fleet.changes.LogSettings;
import beampoint.fleet.changes.MalformedLogMessageException;
import beampoint.fleet.changes.ReplicaState;
import beampoint.fleet.changes.Snapshot;
import beampoint.fleet.changes.SubmitOutcome.Committed;
import beampoint.fleet.distribution.ConfigurationSnapshot;
import beampoint.fleet.distribution.DistributionEvent;
import beampoint.fleet.distribution.DistributionEvent.Installed;
import beampoint.fleet.distribution.DistributionNode;
import beampoint.fleet.facts.Epoch;
import beampoint.fleet.lease.LeaseSettings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The replicated change log at the control machines of a fleet, all of which are voters, and the submitters,
 * which retry under the same id until a change is committed. A control machine that restarts has lost its
 * state.
 */
final class ControlLog {

  private static final double LEASE_MS = 600;
  private static final double DRIFT = 0.02;
  private static final double RETRY_MS = 400; // for messages between replicas
  private static final double SUBMIT_RETRY_MS = 300;
  private static final double TICK_MS = 10;

  /** A submitted change that is not known to be committed. */
  private record Pending(Change change, double submittedAt) {}

  private final Clock clock;
  private final FleetLayout layout;
  private final List<ControlHost> hosts;
  private final ControlNetwork network;
  private final ChangeChecks checks;
  private final UniformRandomProvider random;
  private final BiConsumer<ControlHost, DistributionEvent> deliverEvent;
  private final Consumer<ControlHost> leaderChanged;
  private final ChangeCodec codec = new ChangeCodec("emulated");
  private final LogSettings logSettings;
  private final LeaseSettings leaseSettings;
  private final Map<ChangeId, Pending> pending = new HashMap<>();
  private long submitted;
  private double maxCommitDelayMs;

  ControlLog(Clock clock, FleetLayout layout, List<ControlHost> hosts, ControlNetwork network,
      ChangeChecks checks, UniformRandomProvider random,
      BiConsumer<ControlHost, DistributionEvent> deliverEvent, Consumer<ControlHost> leaderChanged) {
    this.clock = clock;
    this.layout = layout;
    this.hosts = hosts;
    this.network = network;
    this.checks = checks;
    this.random = random;
    this.deliverEvent = deliverEvent;
    this.leaderChanged = leaderChanged;
    SortedSet<String> voters = new TreeSet<>();
    for (int i = 0; i < layout.controlMachines(); i++) {
      voters.add(layout.member(i).name());
    }
    this.logSettings = new LogSettings(voters, RETRY_MS, LogLimits.DEFAULTS);
    this.leaseSettings = new LeaseSettings(voters, LEASE_MS, DRIFT);
  }

  void started(ControlHost host) {
    host.controlNode = new ControlNode(logSettings, leaseSettings, host.member.name(), host.life,
        ReplicaState.started(host.life), host.localTime(clock.now()), new Random(random.nextLong()));
    host.knownLeader = "";
    host.leads = false;
    long life = host.life;
    clock.after(random.nextDouble() * TICK_MS, () -> tick(host, life));
  }

  private void tick(ControlHost host, long life) {
    if (host.isUp() && host.life == life) {
      if (!host.isPaused()) {
        execute(host, host.controlNode.tick(host.localTime(clock.now())));
      }
      clock.after(TICK_MS, () -> tick(host, life));
    }
  }

  // ---- Submitters -----------------------------------------------------------------------------------------

  /** Submits a change, and retries until it is committed. */
  void submit(Change change) {
    String submitter = layout.member(random.nextInt(layout.controlMachines())).name();
    ChangeId id = new ChangeId(submitter, ++submitted);
    pending.put(id, new Pending(change, clock.now()));
    trySubmit(id);
  }

  private void trySubmit(ChangeId id) {
    if (!pending.containsKey(id)) {
      return;
    }
    int leader = leader();
    if (leader >= 0) {
      ControlHost host = hosts.get(leader);
      execute(host, host.controlNode.submit(host.localTime(clock.now()), id, pending.get(id).change()));
    }
    clock.after(SUBMIT_RETRY_MS, () -> trySubmit(id));
  }

  private void committed(ChangeId id) {
    Pending change = pending.remove(id);
    if (change != null) {
      maxCommitDelayMs = Math.max(maxCommitDelayMs, clock.now() - change.submittedAt());
    }
  }

  /** The number of submitted changes that are not known to be committed. */
  int pending() {
    return pending.size();
  }

  /** The longest time in ms from a change's first submission to the answer that it is committed. */
  double maxCommitDelayMs() {
    return maxCommitDelayMs;
  }

  // ---- Control machines -----------------------------------------------------------------------------------

  /** Returns the number of the control machine that leads; -1 if there is none. */
  int leader() {
    for (ControlHost host : hosts.subList(0, layout.controlMachines())) {
      if (host.isUp() && !host.isPaused() && host.controlNode.leads(host.localTime(clock.now()))) {
        return host.number;
      }
    }
    return -1;
  }

  /**
   * Informs the tree about the leader. To be called before any other event of the host, so that the event is
   * handled with the current leader.
   */
  void updateLeadership(ControlHost host) {
    boolean leads = host.controlNode.leads(host.localTime(clock.now()));
    if (leads != host.leads) {
      host.leads = leads;
      deliverEvent.accept(host, leads
          ? new DistributionEvent.BecameLeader(
              DistributionNode.logId(host.controlNode.state().log().foundingEpoch()), layout.proxies())
          : new DistributionEvent.LostLeadership());
    }
    String leader = leads ? host.member.name() : host.controlNode.state().leader().holder();
    if (!leader.equals(host.knownLeader)) {
      host.knownLeader = leader;
      leaderChanged.accept(host);
    }
  }

  private void execute(ControlHost host, List<LogAction> actions) {
    for (LogAction action : actions) {
      if (action instanceof Send send) {
        send(host, hosts.get(layout.hostNumber(send.to())), send.message());
      } else if (action instanceof Answer answer && answer.outcome() instanceof Committed) {
        committed(answer.id());
      } else if (action instanceof Deliver entries) {
        deliverEntries(host, entries);
      } else if (action instanceof Install install) {
        deliverEvent.accept(host, new Installed(DistributionNode.logId(install.foundingEpoch()),
            toConfigurationSnapshot(install.snapshot())));
      }
    }
    updateLeadership(host);
  }

  private void deliverEntries(ControlHost host, Deliver delivered) {
    for (ChangeEntry entry : delivered.entries()) {
      if (entry.index() == checks.log().size() + 1) {
        checks.committed(entry, clock.now());
      }
    }
    deliverEvent.accept(host,
        new DistributionEvent.Committed(DistributionNode.logId(delivered.foundingEpoch()),
            delivered.entries()));
  }

  private static ConfigurationSnapshot toConfigurationSnapshot(Snapshot snapshot) {
    ChangeEntry configuration = snapshot.configuration().orElse(null);
    return new ConfigurationSnapshot(snapshot.index(),
        configuration == null ? Epoch.NONE : configuration.epoch(), configuration);
  }

  private void send(ControlHost from, ControlHost to, LogMessage message) {
    byte[] bytes = codec.write(message);
    from.traffic.add(clock.now(), bytes.length);
    for (int copies = network.copies(from.number, to.number); copies > 0; copies--) {
      clock.after(network.delay(from.number, to.number), () -> deliverMessage(from, to, bytes));
    }
  }

  private void deliverMessage(ControlHost from, ControlHost to, byte[] bytes) {
    if (to.isUp() && network.partition(from.number) == network.partition(to.number)) {
      to.traffic.add(clock.now(), bytes.length);
      long life = to.life;
      to.runOrDefer(() -> {
        if (to.life == life) {
          execute(to, to.controlNode.received(to.localTime(clock.now()), from.member.name(), read(bytes)));
        }
      });
    }
  }

  private LogMessage read(byte[] bytes) {
    try {
      return codec.read(bytes);
    } catch (MalformedLogMessageException e) {
      throw new IllegalStateException(e);
    }
  }
}
