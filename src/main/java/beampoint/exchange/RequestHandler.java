package beampoint.exchange;

import beampoint.memcache.Command;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/** Handles the requests that the client side has read; called on the decision thread. */
public interface RequestHandler {

  /** True once the proxy is ready to serve requests. */
  boolean isReady();

  /** Why a request is invalid and can't be accepted, worded for the client; null if it is valid. */
  String rejectionReason(Command command);

  /**
   * Accepts a valid request.
   *
   * @param arrivedAt the earliest time at which it can have arrived completely, in ms on the proxy's clock
   * @param clientGone returns true once the client's connection has ended
   * @param onAnswer receives the final answer
   */
  Exchange accept(Command command, double arrivedAt, BooleanSupplier clientGone, Consumer<Answer> onAnswer);

  /** Answers at once a request that can't be queued, and so can only be refused or failed. */
  Answer refuse(Command command);

  /** The client of a request has disconnected. */
  void clientGone(Exchange exchange);
}
