package beampoint.serve;

import beampoint.client.Sessions;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * The shutdown after a SIGTERM: serves on while new clients may still arrive, then answers all accepted
 * requests.
 */
final class GracefulShutdown {

  private static final long ACCEPT_MS = 450; // new clients arrive for up to 400 ms after a SIGTERM
  // After that, how long a command that has arrived in part may take to arrive whole. Short where no other
  // process serves, so that clients that stop in the middle of a command do not delay the restart.
  private static final double PARTIAL_COMMAND_MS = 2000;
  private static final double PARTIAL_COMMAND_ALONE_MS = 200;
  private static final double MAX_DEADLINE_MS = 3000; // the longest that the platform waits for
  private static final double KILL_DELAY_MS = 700; // after that deadline a SIGKILL may come
  private static final double ANSWER_MARGIN_MS = 300; // before the SIGKILL, by which all is answered
  private static final double REFUSE_MARGIN_MS = 200; // before that, from which on no request is queued
  private static final double LAST_WRITES_MS = 100; // until the last answers are written
  private static final double POLL_MS = 10;

  private final Sessions sessions;
  private final Decisions decisions;
  private final EventLoop loop;
  private final Clock clock;
  private final BooleanSupplier hasOtherProcess; // true while another process of this proxy serves
  private final CountDownLatch drained = new CountDownLatch(1);
  private volatile boolean begun;
  private double answeredBy;

  GracefulShutdown(Sessions sessions, Decisions decisions, EventLoop loop, Clock clock,
      BooleanSupplier hasOtherProcess) {
    this.sessions = sessions;
    this.decisions = decisions;
    this.loop = loop;
    this.clock = clock;
    this.hasOtherProcess = hasOtherProcess;
  }

  boolean hasBegun() {
    return begun;
  }

  /**
   * Shuts down. Returns once all requests are answered and the answers written, or a SIGKILL is imminent.
   * Must not be called on the decision thread.
   */
  void shutDownGracefully() throws InterruptedException {
    double longestWaitMs = Decisions.longestWaitMs(decisions.settings());
    double killAfterMs = Math.min(longestWaitMs, MAX_DEADLINE_MS) + KILL_DELAY_MS;
    loop.execute(() -> {
      begun = true;
      answeredBy = clock.getAsDouble() + killAfterMs - ANSWER_MARGIN_MS;
      decisions.setAttemptDeadline(answeredBy);
      loop.after(ACCEPT_MS, this::stopListening);
      loop.after(killAfterMs - ANSWER_MARGIN_MS - REFUSE_MARGIN_MS, sessions::refuseQueuedRequests);
      loop.after(killAfterMs - ANSWER_MARGIN_MS, this::expireAttempts);
    });
    drained.await((long) (killAfterMs + KILL_DELAY_MS), TimeUnit.MILLISECONDS);
  }

  private void stopListening() {
    sessions.stopListening(hasOtherProcess.getAsBoolean() ? PARTIAL_COMMAND_MS : PARTIAL_COMMAND_ALONE_MS);
    pollDrained();
  }

  /** Checks repeatedly whether all is answered and written and all client connections are closed. */
  private void pollDrained() {
    if (sessions.isDrained()) {
      drained.countDown();
    } else {
      loop.after(POLL_MS, this::pollDrained);
    }
  }

  /** Ends all attempts, so that the module answers every open request before a SIGKILL. */
  private void expireAttempts() {
    decisions.expireAll();
    loop.after(LAST_WRITES_MS, this::awaitLastWrites);
  }

  /** Lets streams and unwritten answers continue until a SIGKILL may come. */
  private void awaitLastWrites() {
    if (sessions.hasUnanswered() && clock.getAsDouble() < answeredBy + ANSWER_MARGIN_MS - LAST_WRITES_MS) {
      loop.after(POLL_MS, this::awaitLastWrites);
    } else {
      drained.countDown();
    }
  }
}
