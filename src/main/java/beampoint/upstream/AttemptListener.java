package beampoint.upstream;

import beampoint.Balancer.Result;
import beampoint.exchange.Answer;
import beampoint.exchange.Exchange;

/**
 * Told how attempts and probes ended: on the decision thread, and never before the call that began them has
 * returned.
 */
public interface AttemptListener {

  /**
   * An attempt's one outcome; the answer is null unless the request was served, the load, as it was worded,
   * unless one was reported.
   */
  void attemptEnded(Exchange exchange, int attempt, String endpoint, double elapsed, Result result,
      Answer answer, String load);

  void probeEnded(String endpoint, double elapsed, Result result);
}
