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
  /** How long after ACCEPT_MS a partly received command may take to be completed. */
  private static final double PARTIAL_COMMAND_MS = 2000;
  /**
   * The same if no other process serves until the restart: short, so that clients that stop in the middle of
   * a command do not delay it.
   */
  private static final double PARTIAL_COMMAND_ALONE_MS = 200;
  // A SIGKILL may come KILL_DELAY_MS after the longest deadline, or after MAX_DEADLINE_MS if that is shorter:
  // the platform delays it for no longer. All requests are answered ANSWER_MARGIN_MS before the SIGKILL. From
  // REFUSE_MARGIN_MS before that time on, requests are refused instead of queued.
  private static final double MAX_DEADLINE_MS = 3000;
  private static final double KILL_DELAY_MS = 700;
  private static final double ANSWER_MARGIN_MS = 300;
  private static final double REFUSE_MARGIN_MS = 200;
  /** How long the last answers have to be written, and the margin that is kept before the SIGKILL. */
  private static final double LAST_WRITES_MS = 100;
  private static final double POLL_MS = 10;

  private final Sessions sessions;
  private final Decisions decisions;
  private final EventLoop loop;
  private final Clock clock;
  private final BooleanSupplier hasOtherProcess; // true while another process of this proxy serves
  private final CountDownLatch drained = new CountDownLatch(1);
  private volatile boolean begun;
  private double answerBy; // when all requests must be answered, in ms on the proxy's clock

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
   * Shuts down gracefully. Returns once all requests are answered and the answers written, or a SIGKILL is
   * imminent. Must not be called on the decision thread.
   */
  void shutDownGracefully() throws InterruptedException {
    double longestWaitMs = Decisions.longestWaitMs(decisions.settings());
    double killAfterMs = Math.min(longestWaitMs, MAX_DEADLINE_MS) + KILL_DELAY_MS;
    loop.execute(() -> {
      begun = true;
      answerBy = clock.getAsDouble() + killAfterMs - ANSWER_MARGIN_MS;
      decisions.setAttemptDeadline(answerBy);
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
    if (sessions.hasUnanswered() && clock.getAsDouble() < answerBy + ANSWER_MARGIN_MS - LAST_WRITES_MS) {
      loop.after(POLL_MS, this::awaitLastWrites);
    } else {
      drained.countDown();
    }
  }
}
