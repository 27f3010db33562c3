package beampoint.policy.state;

import beampoint.Balancer;
import beampoint.Balancer.Endpoint;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** An endpoint and what this balancer's own traffic has shown of it. */
public final class Node {

  public Endpoint entry;
  public boolean origin;
  /** How many points it has on the ring, and its number there. */
  public int points;
  public int slot = -1;
  public double startedAt;
  public final ArrayDeque<Attempt> flights = new ArrayDeque<>();
  /** Requests that wait for the probe that is out. */
  public final List<Request> askers = new ArrayList<>();
  public int inFlight;
  /** Sends to it, which tell how often a connection is used. */
  public final DecayingMean uses = new DecayingMean();
  /** When it last gave an answer that shows it at work. */
  public double answeredAt;
  /** When a cold cache may be sent more. */
  public double pacedUntil = -1;
  public DecayingMean time = new DecayingMean();
  public final DecayingMean depth = new DecayingMean();
  public DecayingMean errors = new DecayingMean();
  public double ejectedUntil;
  public Ban ban = Ban.NONE;

  /**
   * Takes what the list says; a fresh start makes a new process of it, with no past. One that was taken out
   * was restarted meanwhile: unless the list tells when, it counts as started when it came back.
   */
  public void take(Endpoint endpoint, boolean isOrigin, Ban called) {
    boolean told = endpoint.startedAt() > called.since() || called.isOut();
    double started = told ? endpoint.startedAt() : Math.max(endpoint.startedAt(), called.until());
    if (entry != null && started > startedAt) {
      ejectedUntil = 0;
      errors = new DecayingMean();
      time = new DecayingMean();
      answeredAt = 0;
      pacedUntil = -1;
    }
    entry = endpoint;
    origin = isOrigin;
    ban = called;
    startedAt = started;
  }

  /** A running cache; one that drains, is gone or was taken out takes nothing new. */
  public boolean isCache() {
    return !origin && entry.state() == Balancer.EndpointState.RUNNING && !ban.isOut();
  }

  /** How long it has owed an answer and given none: an attempt that later ones overtook is stuck alone. */
  public double silence(double now) {
    while (!flights.isEmpty() && flights.peekFirst().over) {
      flights.pollFirst();
    }
    return flights.isEmpty() ? 0 : now - Math.max(answeredAt, flights.peekFirst().sentAt);
  }
}
