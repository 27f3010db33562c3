package beampoint.policy.state;

import beampoint.Balancer.RequestClass;
import beampoint.Balancer.RequestReceived;
import java.util.ArrayList;
import java.util.List;

/** A request that has not had its final answer, or still has attempts in flight. Times are in ms. */
public final class Request {

  public final long id;
  public final RequestClass requestClass;
  public final int maxAttempts;
  /** Time by which an answer earns its full worth. */
  public final double aimAt;
  public final double deadline;
  /** Time after which an answer is worthless. */
  public final double usefulUntil;
  public final long key;
  public final boolean write;
  /** Random number from 0 to 1, drawn once, so that the request is always placed alike. */
  public final double placementDraw;
  /** True if the proxy has no memory to hold it while it waits. */
  public final boolean overflow;
  /** True if it is beyond its tenant's share, or a client's retry after the target time. */
  public boolean lowPriority;
  public int bucket;
  public int attemptCount;
  /** The node whose probe it waits for, or null. */
  public Node probedNode;
  /** Attempts in flight. */
  public final List<Attempt> inFlight = new ArrayList<>();
  /** True once it has had its final answer, or its client has left. */
  public boolean finished;
  /** Time of a postponed retry at the origin; infinite if there is none. */
  public double originRetryAt = Double.POSITIVE_INFINITY;
  /** Node of its first attempt that may have been executed; null if there is none. */
  public Node mayHaveRunAt;
  /** Start of its first attempt that may have been executed. */
  public double mayHaveRunSince;
  /** Nodes at which an attempt failed. */
  public final List<Node> tried = new ArrayList<>();

  /** The attempt in flight with that number, or null. */
  public Attempt attempt(int number) {
    return inFlight.stream().filter(a -> a.number == number).findFirst().orElse(null);
  }

  public Request(RequestReceived event, RequestClass requestClass, int maxAttempts, double now,
      double placementDraw) {
    this.id = event.id();
    this.requestClass = requestClass;
    this.maxAttempts = maxAttempts;
    this.aimAt = now + requestClass.aim();
    this.deadline = event.deadline();
    this.usefulUntil = requestClass.lateWorth() > 0 ? deadline : Math.min(aimAt, deadline);
    this.key = event.key();
    this.write = event.write();
    this.overflow = event.overflow();
    this.placementDraw = placementDraw;
  }
}
