package beampoint.serve;

import beampoint.Balancer.Idempotency;
import beampoint.Balancer.RequestClass;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Exchange;
import beampoint.handover.UsedRequestIds;
import beampoint.memcache.Command;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.Set;

/**
 * The ids that clients give their requests: those of open requests, and those under which a request that may
 * run only once may have run. Confined to the decision thread.
 */
final class RequestIds {

  private final Set<String> open = new HashSet<>();
  private final UsedRequestIds used;
  private final Counters counters;

  RequestIds(UsedRequestIds used, Counters counters) {
    this.used = used;
    this.counters = counters;
  }

  private static String id(Command command) {
    return command.id().toStringContent(StandardCharsets.ISO_8859_1);
  }

  /** True if an open request has the id of a command. */
  boolean isOpen(Command command) {
    return open.contains(id(command));
  }

  /** A request is open from here on. */
  void opened(Command command) {
    open.add(id(command));
  }

  /**
   * Claims the id of a request that may run only once. Returns false if a request with this id may have run
   * before, in this process or another one of this proxy.
   */
  boolean claim(Exchange exchange, RequestClass requestClass) {
    if (requestClass.idempotency() == Idempotency.SAFE) {
      return true;
    }
    if (!used.claim(id(exchange.command()))) {
      counters.add(Counter.IDS_USED_BEFORE);
      return false;
    }
    exchange.setClaimsId();
    return true;
  }

  /** A request is over and has no attempt in flight. If it has not run, its id may come again. */
  void closed(Exchange exchange) {
    open.remove(id(exchange.command()));
    if (exchange.claimsId() && !exchange.mayHaveRun()) {
      used.release(id(exchange.command()));
    }
  }
}
