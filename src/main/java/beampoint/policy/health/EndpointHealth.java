package beampoint.policy.health;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Load;
import beampoint.Balancer.Log;
import beampoint.Balancer.Result;
import beampoint.policy.state.Attempt;
import beampoint.policy.state.PolicyState;
import beampoint.policy.state.Node;
import beampoint.policy.state.Request;

/** What outcomes and reports tell of caches and origin: how long one takes, whether one has room. */
public record EndpointHealth(PolicyState facts) {

  private static final double CACHE_PART = 0.5; // of the time to the aim at a cache: a miss comes on top
  private static final double LATE_COST = 3; // parts of the room that each part of late attempts takes away
  private static final double MIN_ROOM = 0.5; // that is left of it
  private static final double OVER_SHARE_PART = 0.4; // of that, for traffic beyond a share at busy caches
  private static final double FADE = 1000; // in ms: evidence counts half after this or after some sends to
  private static final double SENDS_KEPT = 3; // one cache, as many as this,
  public static final double MAX_FADE = 8000; // up to this; requests taken count half after it
  private static final double PRIOR = 2; // what is known of all caches counts like so many answers of one
  private static final double BAD_SHARE = 0.1; // of attempts and probes, before any are known
  private static final double ERROR_LIMIT = 0.3; // share of errors at which a cache is skipped
  private static final double MUTE_PART = 0.25; // of what is remembered: a cache that answered later is alive

  /** Guards against queues whose answers come too late. */
  public boolean hasRoom(Node node, Request r) {
    double left = (facts.now > r.aimAt ? r.usefulUntil : r.aimAt) - facts.now;
    double part = r.yields ? 1 - facts.busy.value(facts.now, FADE, 1, PRIOR) * (1 - OVER_SHARE_PART) : 1;
    return expectedTime(node) <= left * part * punctuality(node) * (node.origin ? 1 : CACHE_PART);
  }

  /** Guards against a jam that upholds itself: where much comes late, what is expected is too little. */
  public double punctuality(Node node) {
    double share = (node.origin ? facts.lateOrigin : facts.late).value(facts.now, FADE, 0, PRIOR);
    return Math.max(MIN_ROOM, 1 - LATE_COST * share);
  }

  /**
   * The time one more attempt would take: the recent time, scaled by how much more is out now than then; what
   * is not known of one cache is taken from all. Logarithms, lest one heavy request make a fleet look full.
   */
  public double expectedTime(Node node) {
    double usual = node.origin ? 0 : Math.log(Math.max(1, fleetTime()));
    double time = Math.exp(node.time.value(facts.now, memory(), usual, node.origin ? PRIOR / 8 : PRIOR));
    double depth = node.depth.value(facts.now, memory(), 1, PRIOR);
    return Math.max(time * Math.max(1, (node.inFlight + 1) / depth), node.silence(facts.now));
  }

  /**
   * The recent time at all caches. It fades, the sooner the longer none is asked: else refusals, which end
   * the evidence, would uphold what they rest on.
   */
  private double fleetTime() {
    double count = facts.outAtCaches > 0 ? 0 : facts.times.count(facts.now, FADE);
    double quiet = count * facts.times.age(facts.now) / memory();
    return Math.exp(facts.times.value(facts.now, FADE, 0, PRIOR / 8 + quiet));
  }

  /** How long evidence on one cache is kept: if for one send, each send would find it out anew. */
  public double memory() {
    double gap = facts.caches.size() / Math.max(1e-9, facts.taken.rate(facts.now, MAX_FADE));
    return Math.min(MAX_FADE, Math.max(FADE, SENDS_KEPT * gap));
  }

  public boolean isKnown(Node node) {
    return node.time.count(facts.now, memory()) >= PRIOR;
  }

  /** The recent share of attempts and probes at caches that came to nothing. */
  public double badShare() {
    return facts.bad.value(facts.now, MAX_FADE, BAD_SHARE, PRIOR);
  }

  /** A queue is there only once all slots are taken; without one, what is said of the cores counts. */
  private void onLoad(Load load) {
    double told = Double.isNaN(load.utilisation()) ? load.queue() : load.utilisation();
    if (!Double.isNaN(told)) {
      facts.busy.add(facts.now, FADE, load.queue() > 0 ? 1 : Math.min(1, told));
    }
  }

  public void onOutcome(Attempt attempt, AttemptEnded e) {
    Node node = attempt.node;
    Result result = e.result();
    if (result == Result.OK || result == Result.TIMEOUT || result == Result.FULL) {
      // A full queue answers at once and would look quick: it counts as the aim, by which it would be late.
      double least = result == Result.FULL ? attempt.type.aim() : e.elapsed();
      double seen = Math.log(Math.max(least, result == Result.OK ? 1 : expectedTime(node)));
      node.time.add(facts.now, memory(), seen);
      node.depth.add(facts.now, memory(), attempt.depth);
      if (!node.origin) {
        facts.times.add(facts.now, FADE, seen);
      }
    }
    (node.origin ? facts.lateOrigin : facts.late).add(facts.now, FADE, result == Result.TIMEOUT ? 1 : 0);
    if (!node.origin) {
      facts.bad.add(facts.now, MAX_FADE, result == Result.OK || result == Result.MISS ? 0 : 1);
    }
    boolean broken = result == Result.CONNECT_FAILED || result == Result.RESET;
    node.errors.add(facts.now, memory(), result == Result.ERROR || broken ? 1 : 0);
    // Of a cache that answers others meanwhile only a connection broke.
    boolean mute = facts.now - node.answeredAt > memory() * MUTE_PART;
    if (broken && mute || node.errors.value(facts.now, memory(), 0, PRIOR) > ERROR_LIMIT) {
      eject(node);
    }
    if (!node.origin && e.load() != null) {
      onLoad(e.load());
    }
  }

  public void onProbe(Node node, Result result) {
    if (result != Result.OK) {
      eject(node);
    }
    facts.bad.add(facts.now, MAX_FADE, result == Result.OK ? 0 : 1);
  }

  /** Skips a cache while it is remembered; never when half of the caches are: then the cause is shared. */
  private void eject(Node node) {
    long paused = facts.caches.stream().filter(n -> facts.now < n.ejectedUntil).count();
    if (!node.origin && facts.now >= node.ejectedUntil && paused < facts.caches.size() / 2) {
      node.ejectedUntil = facts.now + memory();
      facts.out.add(new Log("ejected " + node.entry.id() + " for " + Math.round(memory()) + " ms"));
    }
  }
}
