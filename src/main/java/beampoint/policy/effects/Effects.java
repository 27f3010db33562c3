package beampoint.policy.effects;

import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.policy.state.Node;
import beampoint.policy.state.Request;

/** The rule on effects: none is had twice. */
public final class Effects {

  private Effects() {}

  /** Where a request that may have run may be sent again. */
  public static boolean mayRunAt(Request r, Node node, double now) {
    return r.mayHaveRunAt == null || r.type.idempotency() == Idempotency.SAFE
        || r.type.idempotency() == Idempotency.KEYED && now - r.mayHaveRunSince < r.type.dedupWindow()
        && r.type.group().covers(r.mayHaveRunAt.entry, node.entry);
  }

  /** Where a refusal is truthful: nothing was done, or doing it again is harmless wherever it is asked. */
  public static boolean mayRefuse(Request r) {
    return r.mayHaveRunAt == null || r.type.idempotency() == Idempotency.SAFE
        || r.type.idempotency() == Idempotency.KEYED && r.type.group() == DedupGroup.ALL;
  }
}
