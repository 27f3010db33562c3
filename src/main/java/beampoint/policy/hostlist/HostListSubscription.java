package beampoint.policy.hostlist;

import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.SetTimer;
import beampoint.Balancer.SubscribeToList;
import beampoint.policy.state.PolicyState;

/** Subscribes to changes of the host list unless it is pushed, and retries failed subscriptions. */
public record HostListSubscription(PolicyState state) {

  /** Timer tokens from this value on belong to subscription retries; lower ones are request ids. */
  private static final long FIRST_TOKEN = 1L << 60;
  /**
   * Longest delay of a retry. After a failed, refused or abandoned subscription, a balancer has to know a
   * change within 6 s of the time when discovery had it and could be reached; this leaves time for a second
   * retry.
   */
  private static final double MAX_RETRY_MS = 2500;

  /** Handles a list event; true if it contained a list. */
  public boolean onList(ListReceived e) {
    if (e.kind() == ListKind.UNAVAILABLE) {
      // A broken subscription is reported in the same way as a failed one, to hundreds of balancers at once:
      // the random delay scatters their retries.
      scheduleRetry(state.settings.rules().askEvery() / 2 * state.random.nextDouble());
      return false;
    }
    state.apply(e);
    state.listReceived = e.kind() != ListKind.REMEMBERED;
    if (!state.listReceived) {
      subscribe();
    }
    return true;
  }

  /** Handles a timer; true if its token belongs to this class. */
  public boolean onTimer(long token) {
    if (token == FIRST_TOKEN + state.subscriptionRetries && !state.listReceived) {
      subscribe();
    }
    return token >= FIRST_TOKEN;
  }

  /** Subscribes unless the list is pushed, and schedules a retry in case no answer comes. */
  private void subscribe() {
    if (!state.settings.listPushed()) {
      state.actions.add(new SubscribeToList());
      scheduleRetry(state.settings.rules().askEvery() / 2);
    }
  }

  private void scheduleRetry(double delay) {
    state.listReceived = false;
    state.actions.add(new SetTimer(Math.min(delay, MAX_RETRY_MS), FIRST_TOKEN + ++state.subscriptionRetries));
  }
}
