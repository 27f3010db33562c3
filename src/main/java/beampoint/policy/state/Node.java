package beampoint.policy.state;

import beampoint.Balancer;
import beampoint.Balancer.Endpoint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** An endpoint of the list, and what this balancer has observed of it. Times are in ms. */
public final class Node {

  public Endpoint endpoint;
  public boolean origin;
  /** Number of its points on the ring, and its slot there, or -1. */
  public int pointCount;
  public int ringSlot = -1;
  /** Start of its process; 0 where that is long ago. */
  public double startedAt;
  /** Its attempts in the order of their sending; ended ones are removed lazily. */
  public final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
  /** Requests that wait for the probe in flight. */
  public final List<Request> awaitingProbe = new ArrayList<>();
  public int inFlight;
  /** Attempts sent to it, which show how often a connection is used. */
  public final DecayingMean sends = new DecayingMean();
  /** Time of the last answer that shows it at work. */
  public double lastAnswerAt;
  /** Time up to which the sends to a cold cache have used up its allowed rate. */
  public double pacedUntil = -1;
  /** Logarithms of the times of its attempts. */
  public DecayingMean logTime = new DecayingMean();
  /** Attempts in flight at the times when the observed ones were sent. */
  public final DecayingMean inFlightAtSend = new DecayingMean();
  /** Share of attempts that ended in an error or on a broken connection. */
  public DecayingMean errors = new DecayingMean();
  public double ejectedUntil;
  public Ban ban = Ban.NONE;

  /**
   * Takes over an entry of the list. A later start time means a new process: observations of the former one
   * are dropped. A banned node is assumed to have been restarted during its ban: unless the list names a
   * start after the ban began, it counts as started when the ban ended.
   */
  public void update(Endpoint newEndpoint, boolean isOrigin, Ban newBan) {
    boolean listed = newEndpoint.startedAt() > newBan.since() || newBan.isActive();
    double started = listed ? newEndpoint.startedAt() : Math.max(newEndpoint.startedAt(), newBan.until());
    if (endpoint != null && started > startedAt) {
      ejectedUntil = 0;
      errors = new DecayingMean();
      logTime = new DecayingMean();
      lastAnswerAt = 0;
      pacedUntil = -1;
    }
    endpoint = newEndpoint;
    origin = isOrigin;
    ban = newBan;
    startedAt = started;
  }

  /** True for a running cache; one that drains, is gone or is banned takes no new requests. */
  public boolean isCache() {
    return !origin && endpoint.state() == Balancer.EndpointState.RUNNING && !ban.isActive();
  }

  /**
   * Time for which it has had an attempt in flight and answered none; 0 without attempts in flight. Counted
   * from the last answer: an old attempt that later ones overtook is stuck alone and does not count.
   */
  public double unansweredTime(double now) {
    while (!attempts.isEmpty() && attempts.peekFirst().ended) {
      attempts.pollFirst();
    }
    return attempts.isEmpty() ? 0 : now - Math.max(lastAnswerAt, attempts.peekFirst().sentAt);
  }
}
