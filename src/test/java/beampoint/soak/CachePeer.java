package beampoint.soak;

import beampoint.Stub;
import beampoint.soak.Request.Attempt;
import beampoint.soak.Violation.Check;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;

/** A scripted cache node; a random draw decides, by the parts in its behavior, how it answers an attempt. */
final class CachePeer extends SoakPeer {

  /**
   * The parts of all attempts, from 0 to 1, that get no answer, a rejection, a late answer, a reset or a
   * miss. All others are answered with a hit after a random time of mean {@code latencyMs}. A connection that
   * is idle for {@code idleMs} is closed; 0 means no limit.
   */
  record Behavior(double hangs, double rejects, double late, double resets, double misses, double latencyMs,
      int idleMs) {}

  private static final double MAX_DELAY_MS = 4000;

  private final Behavior behavior;

  CachePeer(String name, Behavior behavior, RunContext context, SplittableRandom random,
      boolean slowReplies) throws IOException {
    super(name, context, random, slowReplies);
    this.behavior = behavior;
  }

  @Override
  void serve(Stub.Peer peer) throws IOException {
    try {
      peer.socket.setSoTimeout(behavior.idleMs());
      for (String line = peer.line(); line != null; line = peer.line()) {
        peer.socket.setSoTimeout(0);
        if (line.equals("mn")) {
          peer.say("MN\r\n");
        } else if (!answerRead(peer, line.split(" "))) {
          return;
        }
        peer.socket.setSoTimeout(behavior.idleMs());
      }
    } catch (SocketTimeoutException e) {
      peer.socket.close(); // idle for its time limit
    }
  }

  /** Answers {@code mg KEY v OID PLIST}; false if the connection has ended. */
  private boolean answerRead(Stub.Peer peer, String[] fields) throws IOException {
    double now = context.clock().now();
    Request request = fields.length < 5 ? null : context.requests().get(fields[3].substring(1));
    if (request == null) {
      peer.say("CLIENT_ERROR not understood\r\n");
      return true;
    }
    double deadlineMs = RequestRegistry.parameter(fields[4].substring(1), "d")
        + (context.injects(Check.TIME_TOLD) ? 1000 : 0);
    Attempt attempt = new Attempt(now, name, deadlineMs);
    request.recordAttempt(attempt);
    double draw = draw();
    if ((draw -= behavior.hangs()) < 0) {
      peer.beSilent();
      return false;
    } else if ((draw -= behavior.rejects()) < 0) {
      peer.say("SERVER_ERROR busy\r\n");
    } else if ((draw -= behavior.late()) < 0) {
      RunClock.sleep(Math.min(MAX_DELAY_MS, request.deadlineMs * 2 * draw()));
      sendValue(peer, request);
    } else if ((draw -= behavior.resets()) < 0) {
      peer.reset();
      return false;
    } else if ((draw - behavior.misses()) < 0) {
      peer.say("EN O" + request.id + " h0\r\n");
    } else {
      RunClock.sleep(behavior.latencyMs() * 2 * draw());
      double replyDelayMs = drawReplyDelay(request, attempt);
      if (Double.isNaN(replyDelayMs)) {
        sendValue(peer, request);
      } else {
        sendSlowly(peer, request, replyDelayMs);
      }
    }
    return true;
  }

  /** Sends a long value in two parts; the first ends within the line before it. */
  private static void sendSlowly(Stub.Peer peer, Request request, double delayMs) throws IOException {
    String value = request.longValue();
    String line = "VA " + value.length() + " O" + request.id;
    peer.say(line);
    RunClock.sleep(delayMs);
    peer.say(" h1\r\n" + value + "\r\n");
  }

  private void sendValue(Stub.Peer peer, Request request) throws IOException {
    String value = context.injects(Check.ONE_ANSWER) ? "another" : request.id;
    peer.say("VA " + value.length() + " O" + request.id + " h1\r\n" + value + "\r\n");
  }
}
