package beampoint.soak;

import beampoint.Stub;
import beampoint.soak.Request.Attempt;
import beampoint.soak.Violation.Check;
import java.io.IOException;
import java.util.Locale;
import java.util.SplittableRandom;

/** A scripted origin: returns values, executes writes, drops repeats of keyed writes in the dedup window. */
final class OriginPeer extends SoakPeer {

  static final String NAME = "origin";
  private static final double CHUNKED_PART = 0.3; // of slow replies
  private static final String RESPONSE = "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s";

  private final Behavior behavior;

  /**
   * The parts of all attempts, from 0 to 1, that get no answer, are declined before they are executed, or
   * fail although they may have been executed.
   */
  record Behavior(double hangs, double declines, double fails, double latencyMs) {}

  OriginPeer(Behavior behavior, RunContext context, SplittableRandom random, boolean slowReplies)
      throws IOException {
    super(NAME, context, random, slowReplies);
    this.behavior = behavior;
  }

  @Override
  void serve(Stub.Peer peer) throws IOException {
    for (String head = peer.head(); head != null; head = peer.head()) {
      String length = header(head, "content-length");
      peer.bytes(length == null ? 0 : Integer.parseInt(length));
      String id = header(head, "req-id");
      Request request = id == null ? null : context.requests().get(id);
      if (request == null) {
        respond(peer, "200 OK", "", ""); // a probe
      } else if (!answer(peer, request, header(head, "req-extra"))) {
        return;
      }
    }
  }

  private static String header(String head, String name) {
    for (String line : head.split("\n")) {
      if (line.toLowerCase(Locale.ROOT).startsWith(name + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return null;
  }

  /** Answers an attempt; false if the connection has ended. */
  private boolean answer(Stub.Peer peer, Request request, String extra) throws IOException {
    double now = context.clock().now();
    Attempt attempt = new Attempt(now, NAME, RequestRegistry.parameter(extra, "d"));
    request.recordAttempt(attempt);
    double draw = draw();
    if ((draw -= behavior.declines()) < 0) {
      respond(peer, "503 Service Unavailable", "Srv-Declined: 1\r\n", "");
      return true;
    }
    if (request.kind.write) {
      request.executeWrite(now, Bounds.DEDUP_WINDOW_MS);
      if (context.injects(Check.EFFECT_ONCE)) {
        request.executeWrite(now + 2 * Bounds.DEDUP_WINDOW_MS, Bounds.DEDUP_WINDOW_MS);
      }
    }
    if ((draw -= behavior.hangs()) < 0) {
      peer.beSilent();
      return false;
    }
    RunClock.sleep(behavior.latencyMs() * 2 * draw());
    if (draw - behavior.fails() < 0) {
      respond(peer, "500 Internal Server Error", "", "");
      return true;
    }
    double replyDelayMs = drawReplyDelay(request, attempt);
    if (Double.isNaN(replyDelayMs)) {
      respond(peer, "200 OK", "", request.id);
    } else {
      respondSlowly(peer, request, replyDelayMs);
    }
    return true;
  }

  /** Sends the head of a long value, with its length or chunked, and the value later. */
  private void respondSlowly(Stub.Peer peer, Request request, double delayMs) throws IOException {
    String value = request.longValue();
    boolean chunked = draw() < CHUNKED_PART;
    peer.say("HTTP/1.1 200 OK\r\n"
        + (chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + value.length()) + "\r\n\r\n");
    RunClock.sleep(delayMs);
    peer.say(
        chunked ? Integer.toHexString(value.length()) + "\r\n" + value + "\r\n0\r\n\r\n" : value);
  }

  private static void respond(Stub.Peer peer, String status, String headers, String body) throws IOException {
    peer.say(String.format(Locale.ROOT, RESPONSE, status, headers, body.length(), body));
  }
}
