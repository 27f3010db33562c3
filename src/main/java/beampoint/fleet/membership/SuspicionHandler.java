package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Message.Kind;
import beampoint.fleet.message.Status;
import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * Suspicion (SWIM, section 4.2; Lifeguard, "Dogpile"): a member that failed a probe has time to refute before
 * it is declared dead. The time becomes shorter as more members accuse it.
 */
final class SuspicionHandler {

  private static final int MAX_ACCUSERS = 3; // more do not shorten a suspicion further
  // The longest suspicion time (one accuser) as a multiple of the shortest.
  private static final double MAX_SUSPICION_FACTOR = 2;

  private final MembershipSettings settings;
  private final MemberTable table;
  private final LocalMember local;
  private final Gossip gossip;
  private final SuspicionQueue queue = new SuspicionQueue();
  private int possibleAccusers; // for which the deadlines in the queue were computed

  SuspicionHandler(MembershipSettings settings, MemberTable table, LocalMember local, Gossip gossip) {
    this.settings = settings;
    this.table = table;
    this.local = local;
    this.gossip = gossip;
  }

  /** Handles an accusation of a member under an incarnation; one under an older incarnation is ignored. */
  void suspect(Peer peer, long incarnation, String accuser, double now) {
    if (incarnation < peer.state.incarnation()) {
      return;
    }
    if (peer.state.status() == Status.ALIVE) {
      gossip.update(peer, peer.state.withStatus(Status.SUSPECT, accuser));
      beginIfSuspected(peer, now);
    }
    Suspicion suspicion = peer.suspicion;
    if (suspicion != null && suspicion.accusers.size() < MAX_ACCUSERS && suspicion.accusers.add(accuser)) {
      queue.put(suspicion, deadline(suspicion));
      gossip.enqueue(peer.state.withStatus(Status.SUSPECT, accuser));
    }
  }

  /**
   * Begins the suspicion of a member that became a suspect or was one when it was added; no effect on others.
   */
  void beginIfSuspected(Peer peer, double startedAt) {
    if (peer.state.status() == Status.SUSPECT) {
      peer.suspicion = new Suspicion(peer, startedAt);
      queue.put(peer.suspicion, deadline(peer.suspicion));
    }
  }

  /** Replaces the state of a member and ends its suspicion, if it has one. */
  void replaceState(Peer peer, MemberState update) {
    if (peer.suspicion != null) {
      queue.remove(peer.suspicion);
      peer.suspicion = null;
    }
    gossip.update(peer, update);
  }

  /**
   * Restarts the time of every suspicion, after a time in which this member could not receive refutations.
   */
  void restartAll(double now) {
    for (Suspicion suspicion : List.copyOf(queue.all())) {
      queue.unlink(suspicion);
      suspicion.startedAt = now;
      suspicion.finalProbeSent = false;
      queue.put(suspicion, deadline(suspicion));
    }
  }

  /** Sends final probes and declares members dead whose suspicion has expired, in the order of names. */
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
    queue.collectBeforeFinalProbe(now, settings.probeInterval(), due);
    if (!local.mayBeIsolated()) {
      queue.collectExpired(now, due);
    }
    return due;
  }

  private void handleDue(Suspicion suspicion, double now) {
    Peer peer = suspicion.peer;
    if (!suspicion.finalProbeSent) {
      queue.markFinalProbeSent(suspicion);
      gossip.send(peer, Kind.PING, 0, "");
    } else if (peer.lastDatagramAt < suspicion.startedAt) {
      replaceState(peer, peer.state.withStatus(Status.DEAD, local.name()));
    } else {
      queue.unlink(suspicion);
    }
  }

  /**
   * Recomputes all deadlines if the number of possible accusers has changed, as it does in fleets of few
   * members.
   *
   * @return true if it has changed
   */
  private boolean recomputeDeadlines() {
    // Neither the local member nor the suspect is counted.
    int possible = Math.min(MAX_ACCUSERS, table.live().size() - 1);
    if (possible == possibleAccusers) {
      return false;
    }
    possibleAccusers = possible;
    for (Suspicion suspicion : List.copyOf(queue.all())) {
      queue.put(suspicion, deadline(suspicion));
    }
    return true;
  }

  /** The fewer accusers, the later the deadline. */
  private double deadline(Suspicion suspicion) {
    return suspicion.startedAt + duration(suspicion.accusers.size());
  }

  private double duration(int accusers) {
    if (possibleAccusers <= 1) {
      return settings.minSuspicionTime();
    }
    double part = Math.log(Math.max(1, accusers)) / Math.log(possibleAccusers);
    double longest = settings.minSuspicionTime() * MAX_SUSPICION_FACTOR;
    return Math.max(settings.minSuspicionTime(), longest - (longest - settings.minSuspicionTime()) * part);
  }
}
