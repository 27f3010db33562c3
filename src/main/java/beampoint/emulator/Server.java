package beampoint.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/** Cores with a queue of bounded length. */
final class Server {

  /** A piece of work; {@code onDone} runs at its end unless it was cancelled or the server was cleared. */
  static final class Job {
    private final DoubleSupplier work; // in ms, evaluated when the job starts
    private final Runnable onDone;
    private boolean started;
    private boolean cancelled;

    private Job(DoubleSupplier work, Runnable onDone) {
      this.work = work;
      this.onDone = onDone;
    }
  }

  private final Clock clock;
  private final int cores;
  private final int maxQueueLength;
  private final Deque<Job> queue = new ArrayDeque<>();
  private int busyCores;
  private long epoch; // incremented by clear(), so that jobs started before do not report their end
  private double pausedUntil;

  Server(Clock clock, int cores, int maxQueueLength) {
    this.clock = clock;
    this.cores = cores;
    this.maxQueueLength = maxQueueLength;
  }

  /** Starts or queues work; null if the queue is full. */
  Job submit(DoubleSupplier work, Runnable onDone) {
    Job job = new Job(work, onDone);
    if (busyCores >= cores || clock.now() < pausedUntil) {
      if (queue.size() >= maxQueueLength) {
        return null;
      }
      queue.add(job);
      return job;
    }
    start(job);
    return job;
  }

  /** Removes a job from the queue; one that has started goes on. */
  void cancel(Job job) {
    if (!job.started) {
      job.cancelled = true;
      queue.remove(job);
    }
  }

  private void start(Job job) {
    job.started = true;
    busyCores++;
    long startedInEpoch = epoch;
    clock.after(job.work.getAsDouble(), () -> {
      if (startedInEpoch == epoch) {
        busyCores--;
        job.onDone.run();
        startQueued();
      }
    });
  }

  private void startQueued() {
    while (busyCores < cores && clock.now() >= pausedUntil && !queue.isEmpty()) {
      start(queue.poll());
    }
  }

  /** Starts no jobs for a while; those that have started go on. */
  void pause(double time) {
    pausedUntil = Math.max(pausedUntil, clock.now() + time);
    clock.at(pausedUntil, this::startQueued);
  }

  boolean isPaused() {
    return clock.now() < pausedUntil;
  }

  /** Drops all jobs, as when the process dies. */
  void clear() {
    epoch++;
    busyCores = 0;
    queue.clear();
  }
}
