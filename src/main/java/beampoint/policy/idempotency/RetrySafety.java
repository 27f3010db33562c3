package beampoint.policy.idempotency;

import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.policy.state.Node;
import beampoint.policy.state.Request;

/** Rules that keep the effect of a request from happening twice. */
public final class RetrySafety {

  private RetrySafety() {}

  /**
   * Latest time in ms at which an attempt may reach a node: Double.MAX_VALUE if there is no limit, 0 if it
   * may not begin at all. A request that is not SAFE and may have run already is repeated only at a node that
   * drops repeats, and only as long as it does.
   */
  public static double arriveBy(Request request, Node node) {
    boolean unrestricted =
        request.mayHaveRunAt == null || request.requestClass.idempotency() == Idempotency.SAFE;
    boolean repeatsDropped = !unrestricted && request.requestClass.idempotency() == Idempotency.KEYED
        && request.requestClass.group().covers(request.mayHaveRunAt.endpoint, node.endpoint);
    return unrestricted ? Double.MAX_VALUE
        : repeatsDropped ? request.mayHaveRunSince + request.requestClass.dedupWindow() : 0;
  }

  /** True if a refusal is correct: the request did not run, or a retry is harmless at any endpoint. */
  public static boolean mayRefuse(Request request) {
    return request.mayHaveRunAt == null || request.requestClass.idempotency() == Idempotency.SAFE
        || request.requestClass.idempotency() == Idempotency.KEYED
            && request.requestClass.group() == DedupGroup.ALL;
  }
}
