package beampoint.policy.state;

import beampoint.Balancer.RequestClass;
import beampoint.Balancer.RequestReceived;
import java.util.ArrayList;
import java.util.List;

/** A request that owes its final answer, or has attempts out still. */
public final class Request {

  public final long id;
  public final RequestClass type;
  public final int maxAttempts;
  public final double aimAt;
  public final double deadline;
  /** When an answer begins to earn nothing. */
  public final double usefulUntil;
  public final long key;
  public final boolean write;
  /** Between 0 and 1: drawn once, so that asking twice gives one answer. */
  public final double luck;
  /** There is no memory to let it wait. */
  public final boolean overflow;
  /** It is worth little: beyond its tenant's share, or asked again after its aim. */
  public boolean yields;
  public int bucket;
  public int attempts;
  /** The cache that was probed for it. */
  public Node asked;
  /** Attempts without an outcome. */
  public final List<Attempt> out = new ArrayList<>();
  /** It has had its final answer, or its client has left. */
  public boolean over;
  /** When the origin is to be asked again. */
  public double retryAt = Double.POSITIVE_INFINITY;
  public Node mayHaveRunAt;
  public double mayHaveRunSince;
  /** Who missed or failed it. */
  public final List<Node> tried = new ArrayList<>();

  /** The attempt of that number, or null where none is out. */
  public Attempt attempt(int number) {
    return out.stream().filter(a -> a.number == number).findFirst().orElse(null);
  }

  public Request(RequestReceived event, RequestClass type, int maxAttempts, double now, double luck) {
    this.id = event.id();
    this.type = type;
    this.maxAttempts = maxAttempts;
    this.aimAt = now + type.aim();
    this.deadline = event.notAfter();
    this.usefulUntil = type.lateWorth() > 0 ? deadline : Math.min(aimAt, deadline);
    this.key = event.key();
    this.write = event.write();
    this.overflow = event.overflow();
    this.luck = luck;
  }
}
