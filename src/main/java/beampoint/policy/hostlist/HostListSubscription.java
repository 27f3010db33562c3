package beampoint.policy.hostlist;

import beampoint.Balancer.FollowList;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.SetTimer;
import beampoint.policy.state.PolicyState;

/** Follows the list of endpoints where it must be asked for. */
public record HostListSubscription(PolicyState facts) {

  private static final long TIMER = 1L << 60; // tokens of calls for the list; other timers carry ids
  private static final double MAX_WAIT = 2500; // in ms: what could be asked for counts as told after 6 s

  /** True where the list told something. */
  public boolean onList(ListReceived e) {
    if (e.kind() == ListKind.UNAVAILABLE) {
      // A broken subscription is told like a failed call: hundreds of balancers ask again at scattered times.
      askLater(facts.settings.rules().askEvery() / 2 * facts.random.nextDouble());
      return false;
    }
    facts.take(e);
    facts.listed = e.kind() != ListKind.REMEMBERED;
    if (!facts.listed) {
      follow();
    }
    return true;
  }

  /** True where the timer was one of this part's own. */
  public boolean onTimer(long token) {
    if (token == TIMER + facts.listCalls && !facts.listed) {
      follow();
    }
    return token >= TIMER;
  }

  /** Where the list must be asked for, subscribes, and asks again after a refusal or a silence. */
  private void follow() {
    if (!facts.settings.listPushed()) {
      facts.out.add(new FollowList());
      askLater(facts.settings.rules().askEvery() / 2);
    }
  }

  private void askLater(double wait) {
    facts.listed = false;
    facts.out.add(new SetTimer(Math.min(wait, MAX_WAIT), TIMER + ++facts.listCalls));
  }
}
