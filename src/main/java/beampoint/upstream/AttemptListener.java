package beampoint.upstream;

import beampoint.Balancer.Result;
import beampoint.exchange.AttemptReport;

/**
 * Receives the outcomes of attempts and probes: on the decision thread, and never before the call that
 * started the attempt or probe has returned.
 */
public interface AttemptListener {

  /** An attempt has ended; called once for each attempt. */
  void attemptEnded(AttemptReport report);

  /** A probe has ended, after so many ms. */
  void probeEnded(String endpoint, double elapsed, Result result);
}
