package beampoint.upstream;

import beampoint.exchange.Exchange;
import java.util.concurrent.Future;

/** One attempt or, if it has no exchange, one probe that is in flight. Confined to the decision thread. */
final class UpstreamRequest {

  final Exchange exchange;
  final int attempt;
  final String endpoint;
  final double startedAt; // in ms on the proxy's clock, as are the next two
  final double timeoutAt;
  final double startBy; // the request must not be written later
  PooledConnection pooled;
  Future<?> timer;
  boolean finished;
  /** The load report in its reply, or null. */
  String loadReport;

  UpstreamRequest(Exchange exchange, int attempt, String endpoint, double startedAt, double timeoutAt,
      double startBy) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.endpoint = endpoint;
    this.startedAt = startedAt;
    this.timeoutAt = timeoutAt;
    this.startBy = Math.min(startBy, timeoutAt);
  }

  boolean isProbe() {
    return exchange == null;
  }
}
