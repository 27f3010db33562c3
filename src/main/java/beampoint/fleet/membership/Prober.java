package beampoint.fleet.membership;

import beampoint.fleet.membership.PendingProbes.Probe;
import beampoint.fleet.membership.PendingProbes.RelayedProbe;
import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message;
import beampoint.fleet.message.Message.Kind;
import beampoint.fleet.message.Status;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Failure detection by probes (SWIM, section 3.1): pings members, asks other members to ping one that gave no
 * direct answer, and suspects one that none of them reached.
 */
final class Prober {

  private static final int RELAYS = 3; // members that are asked for an indirect probe

  private final MembershipSettings settings;
  private final MemberTable table;
  private final LocalMember local;
  private final Gossip gossip;
  private final SuspicionHandler suspicions;
  private final UniformRandomProvider random;
  private final PendingProbes pending = new PendingProbes();
  private final ProbeRound round;
  // reported deaths that are to be verified, by member name
  private final Map<String, MemberState> deathReports = new LinkedHashMap<>();
  private boolean isDeathReportTurn;
  private double nextProbeAt;

  Prober(MembershipSettings settings, MemberTable table, LocalMember local, Gossip gossip,
      SuspicionHandler suspicions, UniformRandomProvider random, double now) {
    this.settings = settings;
    this.table = table;
    this.local = local;
    this.gossip = gossip;
    this.suspicions = suspicions;
    this.random = random;
    this.round = new ProbeRound(table, random);
    this.nextProbeAt = now + random.nextDouble() * settings.probeInterval();
  }

  /** Drops all pending probes. */
  void clear() {
    pending.clear();
  }

  /** Once per probe interval, probes the successor on the ring of names and the next member of the round. */
  void startDueProbes(double now) {
    if (now < nextProbeAt) {
      return;
    }
    nextProbeAt = Math.max(nextProbeAt + settings.probeInterval(), now);
    Peer successor = table.live().after(local.name());
    if (successor != null) {
      probe(successor, now);
      probe(nextTarget(), now);
    }
  }

  /**
   * Schedules a probe of a member that another member reports as dead while it is alive and not suspected
   * here. The report alone does not mark it dead; the probe carries the report so that the member can refute
   * it.
   */
  void verifyDeath(Peer peer, MemberState report) {
    if (report.overrides(peer.state)) {
      deathReports.put(peer.name(), report);
    }
  }

  /**
   * Alternates between members whose reported death is to be verified and members of the round. A report is
   * verified until it is resolved.
   */
  private Peer nextTarget() {
    isDeathReportTurn = !isDeathReportTurn;
    Peer reported = isDeathReportTurn ? nextReportedDead() : null;
    return reported != null ? reported : round.next();
  }

  private Peer nextReportedDead() {
    while (!deathReports.isEmpty()) {
      String name = deathReports.keySet().iterator().next();
      MemberState report = deathReports.remove(name);
      Peer peer = table.get(name);
      if (isUnresolved(report, peer)) {
        deathReports.put(name, report); // moves it to the end of the order
        return peer;
      }
    }
    return null;
  }

  private static boolean isUnresolved(MemberState report, Peer peer) {
    return peer.state.status() == Status.ALIVE && report.overrides(peer.state);
  }

  private void probe(Peer target, double now) {
    if (target == null || pending.isProbed(target.name()) || target.isKnownNotReceiving(now, settings)) {
      return;
    }
    Probe probe = pending.begin(target.name(), now + settings.directProbeTimeout(),
        now + settings.probeInterval());
    MemberState report = deathReports.get(target.name());
    if (report != null && isUnresolved(report, target)) {
      gossip.send(target, Kind.PING, probe.number, "", List.of(report));
    } else {
      gossip.send(target, Kind.PING, probe.number, "");
    }
  }

  /**
   * Handles probes without an answer: requests relayed probes after the direct timeout, reports a failure
   * after the probe interval, and sends a NACK for expired probes that were made for others.
   */
  void handleTimeouts(double now) {
    Iterator<Probe> own = pending.own().iterator();
    while (own.hasNext()) {
      Probe probe = own.next();
      if (now >= probe.deadline) {
        own.remove();
        probeFailed(probe, now);
      } else if (now >= probe.directDeadline && !probe.relaysRequested) {
        probe.relaysRequested = true;
        requestRelays(probe);
      }
    }
    for (RelayedProbe probe : pending.removeExpired(now)) {
      Peer requester = table.get(probe.requester());
      if (requester != null) {
        gossip.send(requester, Kind.NACK, probe.requesterNumber(), probe.target());
      }
    }
  }

  private void probeFailed(Probe probe, double now) {
    local.probeFailed();
    Peer target = table.get(probe.target);
    if (target != null && !local.mayBeIsolated() && !target.isKnownNotReceiving(now, settings)) {
      suspicions.suspect(target, target.state.incarnation(), local.name(), now);
    }
  }

  private void requestRelays(Probe probe) {
    table.live().draw(RELAYS, random, table.get(probe.target))
        .forEach(relay -> gossip.send(relay, Kind.RELAY, probe.number, probe.target));
  }

  /** Handles an ACK for a probe of this member or for one that it relays for another. */
  void ackReceived(Message message) {
    if (pending.complete(message.number())) {
      local.probeSucceeded();
      return;
    }
    RelayedProbe relayed = pending.completeForOther(message.number());
    Peer requester = relayed == null ? null : table.get(relayed.requester());
    if (requester != null) {
      gossip.send(requester, Kind.ACK, relayed.requesterNumber(), relayed.target());
    }
  }

  /** Probes a member on behalf of another. */
  void relayProbe(Peer requester, Message message, double now) {
    Peer target = table.get(message.target());
    if (target != null) {
      double deadline = now + settings.probeInterval() - settings.directProbeTimeout();
      long number = pending.begin(
          new RelayedProbe(requester.name(), message.number(), message.target(), deadline));
      gossip.send(target, Kind.PING, number, "");
    }
  }
}
