package beampoint.exchange;

import beampoint.memcache.Command;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Where the client side hands in what it has read; called on the decision thread. */
public interface RequestHandler {

  /** True once requests can be decided. */
  boolean isReady();

  /** What is wrong with a request that can't be taken, or null. */
  String rejectionReason(Command command);

  /** Takes a request that had come whole at the given time; left tells that its client has gone. */
  Exchange accept(Command command, double readAt, BooleanSupplier left, Consumer<Answer> client);

  /** Answers a request at once for which there is no place, and which so can only be refused. */
  Answer refuse(Command command);

  /** The client of a request has left. */
  void clientGone(Exchange exchange);
}
