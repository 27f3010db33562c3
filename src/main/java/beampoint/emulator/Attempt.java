package beampoint.emulator;

import beampoint.Balancer.Result;
import java.util.function.Consumer;

/** An attempt in flight from a proxy instance to a cache node, or to the origin if {@code node} is null. */
final class Attempt {

  final Instance instance;
  final ClientRequest.Try clientTry;
  final ClientRequest request;
  final int number;
  final CacheNode node;
  final double sentAt;
  int nodeIncarnation; // when the connection was made
  boolean connected;
  boolean hit;
  Server server;
  Server.Job job;
  Consumer<Result> onResult;
  boolean finished;
  private boolean answered;

  Attempt(Instance instance, ClientRequest.Try clientTry, int number, CacheNode node, double sentAt) {
    this.instance = instance;
    this.clientTry = clientTry;
    this.request = clientTry.request;
    this.number = number;
    this.node = node;
    this.sentAt = sentAt;
  }

  /**
   * Passes the server's result to the instance, which gets it after the network delay; only the first counts.
   */
  void answer(Result result) {
    if (!answered) {
      answered = true;
      instance.attemptAnswered(this, result);
    }
  }

  /**
   * Ends the attempt, since nobody waits for its result any more, and removes its job if it is still queued.
   */
  void cancel() {
    finished = true;
    answered = true;
    if (job != null) {
      server.cancel(job);
    }
  }
}
