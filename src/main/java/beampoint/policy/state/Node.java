package beampoint.policy.state;

import beampoint.Balancer;
import beampoint.Balancer.Endpoint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** An endpoint of the host list, and what this balancer has observed of it. Times are in ms. */
public final class Node {

  public Endpoint endpoint;
  public boolean origin;
  /** Number of its points on the ring. */
  public int pointCount;
  /** Its slot in {@link RingPoints}, or -1. */
  public int ringSlot = -1;
  /** Start of its process; 0 if that is long ago. */
  public double startedAt;
  /** Its attempts in the order of their sending; ended ones are removed lazily. */
  public final ArrayDeque<Attempt> attempts = new ArrayDeque<>();
  /** Requests that wait for the probe in flight. */
  public final List<Request> awaitingProbe = new ArrayList<>();
  public int inFlight;
  /** Counts the attempts sent to it, which show how often its connections are used. */
  public final DecayingMean sends = new DecayingMean();
  /** Time of the last answer with a value or a miss. */
  public double lastAnswerAt;
  /** Time until which the allowed rate of a cold cache is used up by the requests already sent. */
  public double pacedUntil = -1;
  /** Logarithms of the times of its attempts. */
  public DecayingMean logTime = new DecayingMean();
  /** Numbers of attempts in flight when the observed attempts were sent. */
  public final DecayingMean inFlightAtSend = new DecayingMean();
  /** Share of attempts that ended in an error or on a broken connection. */
  public DecayingMean errors = new DecayingMean();
  public double ejectedUntil;
  public Ban ban = Ban.NONE;

  /**
   * Applies an entry of the host list. A later start time means a new process: observations of the former one
   * are dropped. A banned node is assumed to have been restarted during its ban: unless the list has a start
   * time after the ban began, it counts as started when the ban ended.
   */
  public void update(Endpoint newEndpoint, boolean isOrigin, Ban newBan) {
    boolean useListedStart = newEndpoint.startedAt() > newBan.since() || newBan.isActive();
    double started =
        useListedStart ? newEndpoint.startedAt() : Math.max(newEndpoint.startedAt(), newBan.until());
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
   * How long the node has had attempts in flight without answering any (ms); 0 if none is in flight. Measured
   * from the last answer, so that a single stuck attempt does not count while later ones are answered.
   */
  public double unansweredTime(double now) {
    while (!attempts.isEmpty() && attempts.peekFirst().ended) {
      attempts.pollFirst();
    }
    return attempts.isEmpty() ? 0 : now - Math.max(lastAnswerAt, attempts.peekFirst().sentAt);
  }
}
