package beampoint.serve;

import beampoint.client.Sessions;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** The end after a SIGTERM: serves on while clients may still come, then answers all that was taken. */
final class GracefulShutdown {

  private static final long FRONT_LEAVES_MS = 450; // after a SIGTERM new clients come for up to 400 ms
  // After that a command that has begun may come to its end: for long where another process serves, shortly
  // where nobody does, or clients that stop half way would hold up the restart.
  private static final double HALF_COMMAND_MS = 2000;
  private static final double HALF_COMMAND_ALONE_MS = 200;
  private static final double MAX_DEADLINE_MS = 3000; // that the platform waits for after a SIGTERM
  private static final double KILL_MS = 700; // after that deadline a SIGKILL may come
  private static final double END_MS = 300; // before it all is answered
  private static final double REFUSE_MS = 200; // before that nothing waits behind other requests any more
  private static final double LAST_WRITES_MS = 100; // until the last answers are written
  private static final double STEP_MS = 10;

  private final Sessions sessions;
  private final Decisions decisions;
  private final Loop loop;
  private final Clock clock;
  private final BooleanSupplier isReplacing; // another process of this proxy serves
  private final CountDownLatch drained = new CountDownLatch(1);
  private volatile boolean begun;
  private double endsBy;

  GracefulShutdown(Sessions sessions, Decisions decisions, Loop loop, Clock clock,
      BooleanSupplier isReplacing) {
    this.sessions = sessions;
    this.decisions = decisions;
    this.loop = loop;
    this.clock = clock;
    this.isReplacing = isReplacing;
  }

  boolean hasBegun() {
    return begun;
  }

  /** Returns once all is answered and written, or a SIGKILL is near; from any thread but the decisions'. */
  void await() throws InterruptedException {
    double longest = Decisions.longestDeadline(decisions.settings());
    double killed = Math.min(longest, MAX_DEADLINE_MS) + KILL_MS;
    loop.execute(() -> {
      begun = true;
      endsBy = clock.getAsDouble() + killed - END_MS;
      decisions.endBy(endsBy);
      loop.after(FRONT_LEAVES_MS, this::endSessions);
      loop.after(killed - END_MS - REFUSE_MS, sessions::refuseQueuedRequests);
      loop.after(killed - END_MS, this::endAll);
    });
    drained.await((long) (killed + KILL_MS), TimeUnit.MILLISECONDS);
  }

  private void endSessions() {
    sessions.stopListening(isReplacing.getAsBoolean() ? HALF_COMMAND_MS : HALF_COMMAND_ALONE_MS);
    pollDrained();
  }

  /** Ends once all is answered and written, and clients have seen their connections close. */
  private void pollDrained() {
    if (sessions.isDrained()) {
      drained.countDown();
    } else {
      loop.after(STEP_MS, this::pollDrained);
    }
  }

  /** Guards against a SIGKILL with requests still open: their time is cut short, and the module answers. */
  private void endAll() {
    decisions.expireAll();
    loop.after(LAST_WRITES_MS, this::endWrites);
  }

  /** What streams, or waits to be written, goes on until a SIGKILL may come. */
  private void endWrites() {
    if (sessions.hasUnanswered() && clock.getAsDouble() < endsBy + END_MS - LAST_WRITES_MS) {
      loop.after(STEP_MS, this::endWrites);
    } else {
      drained.countDown();
    }
  }
}
