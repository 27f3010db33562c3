package beampoint.exchange;

import beampoint.memcache.Command;
import java.util.function.Consumer;

/** Where the client side hands in what it has read; called on the decision thread. */
public interface Intake {

  /** True once requests can be decided. */
  boolean isReady();

  /** Takes a request that had come whole at the given time; null where its class is not known. */
  Exchange take(Command command, double readAt, Consumer<Answer> client);

  /** The client of a request has left. */
  void gone(Exchange exchange);
}
