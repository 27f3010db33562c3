package beampoint.upstream;

import beampoint.exchange.Exchange;
import java.util.concurrent.Future;

/** One attempt or, without an exchange, one probe that is out. Belongs to the decision thread. */
final class InFlight {

  final Exchange exchange;
  final int number;
  final String endpoint;
  final double startedAt;
  final double endsAt;
  final double startBy; // after which its first byte must not be written
  PooledConnection link;
  Future<?> timer;
  boolean over;
  /** The report of load that came with its answer, or null. */
  String load;

  InFlight(Exchange exchange, int number, String endpoint, double startedAt, double endsAt,
      double startBy) {
    this.exchange = exchange;
    this.number = number;
    this.endpoint = endpoint;
    this.startedAt = startedAt;
    this.endsAt = endsAt;
    this.startBy = Math.min(startBy, endsAt);
  }

  boolean isProbe() {
    return exchange == null;
  }
}
