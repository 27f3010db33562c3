package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message.Kind;
import beampoint.fleet.message.Status;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Suspicion (SWIM, section 4.2; Lifeguard, "Dogpile"): who failed a probe has time to refute, the less the
 * more members accuse it; then it is declared dead.
 */
final class SuspicionHandler {

  private static final int ENOUGH_ACCUSERS = 3; // after which a suspicion runs out soonest
  private static final double MAX_SUSPICION = 2; // times the least, with one accuser

  private final MembershipSettings terms;
  private final MemberTable table;
  private final LocalMember local;
  private final Gossip gossip;
  private final SuspicionQueue queue = new SuspicionQueue();
  private int possibleAccusers; // by which the deadlines in the queue were computed

  SuspicionHandler(MembershipSettings terms, MemberTable table, LocalMember local, Gossip gossip) {
    this.terms = terms;
    this.table = table;
    this.local = local;
    this.gossip = gossip;
  }

  /** Takes an accusation of a member under an incarnation. */
  void suspect(Peer peer, long incarnation, String accuser, double now) {
    if (incarnation < peer.news.incarnation()) {
      return;
    }
    if (peer.news.status() == Status.ALIVE) {
      gossip.update(peer, peer.news.as(Status.SUSPECT, accuser));
      begin(peer, now);
    }
    Suspicion suspicion = peer.suspicion;
    if (suspicion != null && suspicion.accusers.size() < ENOUGH_ACCUSERS && suspicion.accusers.add(accuser)) {
      queue.put(suspicion, deadline(suspicion));
      gossip.spread(peer.news.as(Status.SUSPECT, accuser));
    }
  }

  /** Begins the suspicion of one that has just become a suspect, or was one when it became known. */
  void begin(Peer peer, double since) {
    if (peer.news.status() == Status.SUSPECT) {
      peer.suspicion = new Suspicion(peer, since);
      queue.put(peer.suspicion, deadline(peer.suspicion));
    }
  }

  /** Replaces what is known of a member by news that make it no suspect. */
  void clear(Peer peer, MemberState news) {
    if (peer.suspicion != null) {
      queue.remove(peer.suspicion);
      peer.suspicion = null;
    }
    gossip.update(peer, news);
  }

  /** What was not heard meanwhile tells nothing: who is suspected gets its whole time again. */
  void restartAll(double now) {
    for (Suspicion suspicion : List.copyOf(queue.all())) {
      queue.unlink(suspicion);
      suspicion.since = now;
      suspicion.lastProbeSent = false;
      queue.put(suspicion, deadline(suspicion));
    }
  }

  /** Sends last probes, and declares dead whose time is over, in the order of names. */
  void tick(double now) {
    recomputeDeadlines();
    NavigableMap<String, Suspicion> due = due(now);
    while (!due.isEmpty()) {
      Suspicion suspicion = due.pollFirstEntry().getValue();
      handleDue(suspicion, now);
      if (recomputeDeadlines()) {
        due.putAll(due(now).tailMap(suspicion.name(), false));
      }
    }
  }

  private NavigableMap<String, Suspicion> due(double now) {
    NavigableMap<String, Suspicion> due = new TreeMap<>();
    queue.collectBeforeLastProbe(now, terms.probeEvery(), due);
    if (!local.mayBeIsolated()) {
      queue.collectOver(now, due);
    }
    return due;
  }

  private void handleDue(Suspicion suspicion, double now) {
    Peer peer = suspicion.peer;
    if (!suspicion.lastProbeSent) {
      queue.lastProbeSent(suspicion);
      gossip.send(peer, Kind.PING, 0, "");
    } else if (peer.heardAt < suspicion.since) {
      clear(peer, peer.news.as(Status.DEAD, local.name()));
    } else {
      queue.unlink(suspicion);
    }
  }

  /** True where so few live, or no longer so few, that the deadlines are others. */
  private boolean recomputeDeadlines() {
    // Neither this member nor the accused accuses.
    int possible = Math.min(ENOUGH_ACCUSERS, table.living().size() - 1);
    if (possible == possibleAccusers) {
      return false;
    }
    possibleAccusers = possible;
    for (Suspicion suspicion : List.copyOf(queue.all())) {
      queue.put(suspicion, deadline(suspicion));
    }
    return true;
  }

  /** The fewer accuse it, the longer it has to refute. */
  private double deadline(Suspicion suspicion) {
    return suspicion.since + duration(suspicion.accusers.size());
  }

  private double duration(int accusers) {
    if (possibleAccusers <= 1) {
      return terms.suspectFor();
    }
    double part = Math.log(Math.max(1, accusers)) / Math.log(possibleAccusers);
    double longest = terms.suspectFor() * MAX_SUSPICION;
    return Math.max(terms.suspectFor(), longest - (longest - terms.suspectFor()) * part);
  }
}
