package beampoint.exchange;

import beampoint.Balancer.Result;
import java.util.Locale;

/**
 * How one attempt of a request has ended.
 *
 * @param attempt the number of the attempt, from 0
 * @param elapsedMs since the attempt started
 * @param answer the answer for the client; null unless the request was served
 * @param loadReport the text of the server's load report, or null if there was none
 * @param replyBeganAfterMs the time from the start of the attempt to the first byte of a reply; NaN if there
 * was none
 */
public record AttemptReport(Exchange exchange, int attempt, String endpoint, double elapsedMs, Result result,
    Answer answer, String loadReport, double replyBeganAfterMs) {

  /** The report of an attempt that was not sent. */
  public static AttemptReport notSent(Exchange exchange, int attempt, String endpoint) {
    return new AttemptReport(exchange, attempt, endpoint, 0, Result.NOT_SENT, null, null, Double.NaN);
  }

  /** A description for the log. */
  public String text() {
    String reply = Double.isNaN(replyBeganAfterMs) ? "no reply"
        : String.format(Locale.ROOT, "reply begun after %.0f ms", replyBeganAfterMs);
    return String.format(Locale.ROOT, "attempt %d at %s %s after %.0f ms, %s", attempt, endpoint, result,
        elapsedMs, reply);
  }
}
