package beampoint.upstream;

import beampoint.Balancer.Result;
import beampoint.exchange.Answer;
import beampoint.exchange.Exchange;

/**
 * Receives the outcomes of attempts and probes: on the decision thread, and never before the call that
 * started the attempt or probe has returned.
 */
public interface AttemptListener {

  /**
   * An attempt has ended; called once for each attempt.
   *
   * @param elapsed since the attempt started, in ms
   * @param answer the answer for the client; null unless the request was served
   * @param loadReport the text of the server's load report, or null if there was none
   */
  void attemptEnded(Exchange exchange, int attempt, String endpoint, double elapsed, Result result,
      Answer answer, String loadReport);

  /** A probe has ended, after so many ms. */
  void probeEnded(String endpoint, double elapsed, Result result);
}
