package beampoint.serve;

import beampoint.Balancer.GiveUpReason;
import beampoint.exchange.AttemptReport;
import beampoint.exchange.Exchange;
import beampoint.log.Log;
import beampoint.log.RateLimitedLog;
import beampoint.memcache.Command;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Logs why requests were not served, a limited number of lines a second. Confined to the decision thread. */
final class RequestLog {

  private static final int MAX_LINES_PER_SECOND = 10;

  private final Clock clock;
  private final RateLimitedLog log = new RateLimitedLog(Log.of("request"), MAX_LINES_PER_SECOND);

  RequestLog(Clock clock) {
    this.clock = clock;
  }

  /** A request is refused or failed. Called before it is answered. */
  void givenUp(Exchange exchange, String outcome, GiveUpReason reason) {
    if (!log.mayWrite()) {
      return;
    }
    Command command = exchange.command();
    AttemptReport last = exchange.lastAttempt();
    double left = exchange.deadline() - clock.getAsDouble();
    log.info(String.format(Locale.ROOT, "%s of class %s %s: %s, %.0f of %d ms left; %s",
        command.id().toStringContent(StandardCharsets.ISO_8859_1), command.requestClass(), outcome, reason,
        left, command.waitMs(), last == null ? "no attempt" : last.text()));
  }
}
