package beampoint.policy.idempotency;

import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.policy.state.Node;
import beampoint.policy.state.Request;

/** Rules that keep the effect of a request from happening twice. */
public final class RetrySafety {

  private RetrySafety() {}

  /**
   * Time in ms until which an attempt may begin at a node. A request that may have run already is repeated
   * only where, and as long as, the node drops repeats; 0 means never.
   */
  public static double startBy(Request request, Node node) {
    boolean unrestricted =
        request.mayHaveRunAt == null || request.requestClass.idempotency() == Idempotency.SAFE;
    boolean dropped = !unrestricted && request.requestClass.idempotency() == Idempotency.KEYED
        && request.requestClass.group().covers(request.mayHaveRunAt.endpoint, node.endpoint);
    return unrestricted ? Double.MAX_VALUE
        : dropped ? request.mayHaveRunSince + request.requestClass.dedupWindow() : 0;
  }

  /** True where a refusal is correct: the request did not run, or a retry is harmless at any endpoint. */
  public static boolean mayRefuse(Request request) {
    return request.mayHaveRunAt == null || request.requestClass.idempotency() == Idempotency.SAFE
        || request.requestClass.idempotency() == Idempotency.KEYED
            && request.requestClass.group() == DedupGroup.ALL;
  }
}
