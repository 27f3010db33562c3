package beampoint.policy.idempotency;

import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.policy.state.Node;
import beampoint.policy.state.Request;

/** The rule on effects: none is had twice. */
public final class RetrySafety {

  private RetrySafety() {}

  /** Until when a request may begin at a node: one that may have run, where and while repeats are dropped. */
  public static double startBy(Request r, Node node) {
    boolean free = r.mayHaveRunAt == null || r.type.idempotency() == Idempotency.SAFE;
    boolean dropped = !free && r.type.idempotency() == Idempotency.KEYED
        && r.type.group().covers(r.mayHaveRunAt.entry, node.entry);
    return free ? Double.MAX_VALUE : dropped ? r.mayHaveRunSince + r.type.dedupWindow() : 0;
  }

  /** Where a refusal is truthful: nothing was done, or doing it again is harmless wherever it is asked. */
  public static boolean mayRefuse(Request r) {
    return r.mayHaveRunAt == null || r.type.idempotency() == Idempotency.SAFE
        || r.type.idempotency() == Idempotency.KEYED && r.type.group() == DedupGroup.ALL;
  }
}
