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
 * Probing (SWIM, section 3.1): asks members for a sign of life, has others ask one that gave no direct
 * answer, and accuses one that nobody reached.
 */
final class Prober {

  private static final int HELPERS = 3; // that are asked to try a member which gave no direct answer

  private final MembershipSettings terms;
  private final MemberTable table;
  private final LocalMember local;
  private final Gossip gossip;
  private final SuspicionHandler suspicions;
  private final UniformRandomProvider random;
  private final PendingProbes pending = new PendingProbes();
  private final ProbeRound round;
  private final Map<String, MemberState> claims = new LinkedHashMap<>(); // deaths to be verified, by member
  private boolean isTurnOfClaims;
  private double probeAt;

  Prober(MembershipSettings terms, MemberTable table, LocalMember local, Gossip gossip, SuspicionHandler suspicions,
      UniformRandomProvider random, double now) {
    this.terms = terms;
    this.table = table;
    this.local = local;
    this.gossip = gossip;
    this.suspicions = suspicions;
    this.random = random;
    this.round = new ProbeRound(table, random);
    this.probeAt = now + random.nextDouble() * terms.probeEvery();
  }

  /** Forgets all that waits for an answer. */
  void clear() {
    pending.clear();
  }

  /** Probes the successor on the ring of names and the next of the round, where it is time. */
  void beginDue(double now) {
    if (now < probeAt) {
      return;
    }
    probeAt = Math.max(probeAt + terms.probeEvery(), now);
    Peer successor = table.living().after(local.name());
    if (successor != null) {
      probe(successor, now);
      probe(nextTarget(), now);
    }
  }

  /**
   * Probes a member next that others hold for dead, and that lives here and is not suspected: it is not held
   * for dead by that alone, and is told what is said of it.
   */
  void askAbout(Peer peer, MemberState claim) {
    if (claim.overrides(peer.news)) {
      claims.put(peer.name(), claim);
    }
  }

  /** By turns one whose death is to be verified, and one of the round; the former until it is settled. */
  private Peer nextTarget() {
    isTurnOfClaims = !isTurnOfClaims;
    Peer claimed = isTurnOfClaims ? nextClaimed() : null;
    return claimed != null ? claimed : round.next();
  }

  private Peer nextClaimed() {
    while (!claims.isEmpty()) {
      String name = claims.keySet().iterator().next();
      MemberState claim = claims.remove(name);
      Peer peer = table.get(name);
      if (isOpen(claim, peer)) {
        claims.put(name, claim); // behind all others
        return peer;
      }
    }
    return null;
  }

  private static boolean isOpen(MemberState claim, Peer peer) {
    return peer.news.status() == Status.ALIVE && claim.overrides(peer.news);
  }

  private void probe(Peer target, double now) {
    if (target == null || pending.isProbed(target.name()) || target.isKnownDeaf(now, terms)) {
      return;
    }
    Probe probe = pending.begin(target.name(), now + terms.answerWithin(), now + terms.probeEvery());
    MemberState claim = claims.get(target.name());
    if (claim != null && isOpen(claim, target)) {
      gossip.send(target, Kind.PING, probe.number, "", List.of(claim));
    } else {
      gossip.send(target, Kind.PING, probe.number, "");
    }
  }

  /** Acts on probes that have had no answer in their time. */
  void endOverdue(double now) {
    Iterator<Probe> own = pending.own().iterator();
    while (own.hasNext()) {
      Probe probe = own.next();
      if (now >= probe.until) {
        own.remove();
        failed(probe, now);
      } else if (now >= probe.directUntil && !probe.relayed) {
        probe.relayed = true;
        askHelpers(probe);
      }
    }
    for (RelayedProbe probe : pending.takeOverdue(now)) {
      Peer asker = table.get(probe.asker());
      if (asker != null) {
        gossip.send(asker, Kind.NACK, probe.askersNumber(), probe.target());
      }
    }
  }

  private void failed(Probe probe, double now) {
    local.probeFailed();
    Peer target = table.get(probe.target);
    if (target != null && !local.mayBeIsolated() && !target.isKnownDeaf(now, terms)) {
      suspicions.suspect(target, target.news.incarnation(), local.name(), now);
    }
  }

  private void askHelpers(Probe probe) {
    table.living().draw(HELPERS, random, table.get(probe.target))
        .forEach(helper -> gossip.send(helper, Kind.RELAY, probe.number, probe.target));
  }

  /** An answer has come, to a probe of its own or to one that another asked for. */
  void answered(Message message) {
    if (pending.end(message.number())) {
      local.probeSucceeded();
      return;
    }
    RelayedProbe relayed = pending.endRelayed(message.number());
    Peer asker = relayed == null ? null : table.get(relayed.asker());
    if (asker != null) {
      gossip.send(asker, Kind.ACK, relayed.askersNumber(), relayed.target());
    }
  }

  /** Probes a member for another. */
  void relay(Peer asker, Message message, double now) {
    Peer target = table.get(message.about());
    if (target != null) {
      double until = now + terms.probeEvery() - terms.answerWithin();
      long number = pending.begin(
          new RelayedProbe(asker.name(), message.number(), message.about(), until));
      gossip.send(target, Kind.PING, number, "");
    }
  }
}
