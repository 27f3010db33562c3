package beampoint.emulator;

import beampoint.Balancer.Result;
import java.util.function.Consumer;

/** One attempt of an instance that is out, at a cache node or, without one, at the origin. */
final class Attempt {

  final Instance instance;
  final ClientRequest.Try clientTry;
  final ClientRequest request;
  final int number;
  final CacheNode node;
  final double sentAt;
  int life; // of the node, as its connection was made
  boolean connected;
  boolean hit;
  Server server;
  Server.Job job;
  Consumer<Result> ended;
  boolean over;
  private boolean answered;

  Attempt(Instance instance, ClientRequest.Try clientTry, int number, CacheNode node, double sentAt) {
    this.instance = instance;
    this.clientTry = clientTry;
    this.request = clientTry.request;
    this.number = number;
    this.node = node;
    this.sentAt = sentAt;
  }

  /** What the peer says; it reaches the instance after the way back. */
  void answer(Result result) {
    if (!answered) {
      answered = true;
      instance.answered(this, result);
    }
  }

  /** Nobody waits for it any more. */
  void giveUp() {
    over = true;
    answered = true;
    if (job != null) {
      server.drop(job);
    }
  }
}
