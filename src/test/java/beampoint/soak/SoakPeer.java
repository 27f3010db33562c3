package beampoint.soak;

import beampoint.Stub;
import beampoint.soak.Request.Attempt;
import java.io.IOException;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** A scripted server behind the proxies that decides by a random draw how it answers each attempt. */
abstract class SoakPeer implements AutoCloseable {

  /** Started in advance: on a busy machine the start of a thread can take more than 100 ms. */
  private static final int IDLE_THREADS = 64;
  private static final double SLOW_REPLY_PART = 0.1; // of all reads
  private static final double MIN_TIME_LEFT_MS = 100; // for a slow reply, at its last byte
  private static final double MIN_STALL_MS = 5; // shorter intervals between two accepts are normal

  final String name;
  final RunContext context;
  private final SplittableRandom random;
  private final boolean slowReplies;
  private final ExecutorService threads = startThreads();
  private final Stub stub;

  SoakPeer(String name, RunContext context, SplittableRandom random, boolean slowReplies)
      throws IOException {
    this.slowReplies = slowReplies;
    this.name = name;
    this.context = context;
    this.random = random;
    this.stub = new Stub(this::serve, threads, this::recordBusy);
  }

  private static ExecutorService startThreads() {
    ThreadPoolExecutor threads = new ThreadPoolExecutor(IDLE_THREADS, Integer.MAX_VALUE, 1, TimeUnit.MINUTES,
        new SynchronousQueue<>(), task -> {
          Thread thread = new Thread(task, "soak-peer");
          thread.setDaemon(true);
          return thread;
        });
    threads.prestartAllCoreThreads();
    return threads;
  }

  /** Serves one connection to its end. */
  abstract void serve(Stub.Peer peer) throws IOException;

  /**
   * Records a time for which the peer accepted no connection as a stall of the harness: the attempts that
   * proxies sent on new connections meanwhile have arrived, but are recorded only afterwards.
   */
  void recordBusy(long durationNanos) {
    double durationMs = durationNanos / 1e6;
    if (durationMs > MIN_STALL_MS) {
      double now = context.clock().now();
      context.clock().machineStalls().add(name + " accepts", now - durationMs, now, durationMs);
    }
  }

  /**
   * Draws whether a read gets a long reply whose rest comes late, and how late: within its deadline. Returns
   * the delay of the rest in ms, or NaN for a reply that is sent at once. None is drawn that begins when its
   * attempt may just have ended, as its proxy may not see it begin.
   */
  double drawReplyDelay(Request request, Attempt attempt) {
    double now = context.clock().now();
    double left = request.sentAt() + request.deadlineMs - MIN_TIME_LEFT_MS - now;
    double attemptLeft = attempt.at() + attempt.deadlineMs() - Bounds.TIMEOUT_TOLERANCE_MS - now;
    boolean mayBeSlow = slowReplies && !request.kind.write && !context.terminating().get()
        && Double.isFinite(left) && left > 0 && attemptLeft > 0;
    if (!mayBeSlow || draw() >= SLOW_REPLY_PART) {
      return Double.NaN;
    }
    double delay = left * draw();
    request.recordSlowReply(now + delay);
    return delay;
  }

  /** A random number from 0 (inclusive) to 1 (exclusive). */
  synchronized double draw() {
    return random.nextDouble();
  }

  String address() {
    return stub.address();
  }

  @Override
  public void close() throws IOException {
    stub.close();
    threads.shutdown();
  }
}
