package beampoint.upstream;

import beampoint.exchange.Exchange;
import java.util.concurrent.Future;

/** One attempt or, if it has no exchange, one probe that is in flight. Confined to the decision thread. */
final class UpstreamRequest {

  /** What TCP sends without waiting for an acknowledgement, in bytes (RFC 6928). */
  private static final int TCP_INITIAL_WINDOW_BYTES = 14_600;

  final Exchange exchange;
  final int attempt;
  final String endpoint;
  final double startedAt; // in ms on the proxy's clock
  /** When the attempt ends unless its reply has begun, in ms on the proxy's clock. */
  final double timeoutAt;
  /** When the attempt ends even if its reply has begun, in ms on the proxy's clock. */
  final double replyDeadline;
  PooledConnection pooled;
  Future<?> timer;
  boolean finished;
  /** The length of the request as written, in bytes; 0 until then. */
  int writtenBytes;
  /** The load report in its reply, or null. */
  String loadReport;
  private double replyBeganAt = Double.NaN; // in ms on the proxy's clock

  /**
   * An attempt or a probe that is not written yet.
   *
   * @param arriveBy the latest time at which the request may reach its server. The proxy can't see when that
   * happens: the system and the server buffer what is written. So an attempt whose reply has not begun ends
   * then.
   */
  UpstreamRequest(Exchange exchange, int attempt, String endpoint, double startedAt, double timeoutAt,
      double replyDeadline, double arriveBy) {
    this.exchange = exchange;
    this.attempt = attempt;
    this.endpoint = endpoint;
    this.startedAt = startedAt;
    this.timeoutAt = Math.min(timeoutAt, arriveBy);
    this.replyDeadline = replyDeadline;
  }

  boolean isProbe() {
    return exchange == null;
  }

  /** Bytes of its reply were read. */
  void replyRead(double now) {
    if (!replyHasBegun()) {
      replyBeganAt = now;
    }
  }

  /** True once the first byte of its reply was read. */
  boolean replyHasBegun() {
    return !Double.isNaN(replyBeganAt);
  }

  /** True if its server has received it whole and is sending the reply, so that its timeout is void. */
  boolean isBeingAnswered() {
    return replyHasBegun() && pooled != null && pooled.requestWritten;
  }

  /** When the first byte of its reply was read, in ms since its start; NaN if none was. */
  double replyBeganAfterMs() {
    return replyBeganAt - startedAt;
  }

  /**
   * True if a part of the request may not have left this machine: it is not written whole, or it was longer
   * than what TCP sends at once, and the system may hold the rest for as long as the server does not read.
   */
  boolean mayBeUnsent() {
    return pooled == null || !pooled.requestWritten || writtenBytes > TCP_INITIAL_WINDOW_BYTES;
  }
}
