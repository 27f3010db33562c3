package beampoint.emulator;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.DoubleSupplier;

/** Cores and a waiting room of bounded length. Work that is given up while it waits is dropped. */
final class Server {

  /** A piece of work; its end is told unless it was dropped or the server was emptied. */
  static final class Job {
    private final DoubleSupplier work; // measured when it begins
    private final Runnable done;
    private boolean begun;
    private boolean dropped;

    private Job(DoubleSupplier work, Runnable done) {
      this.work = work;
      this.done = done;
    }
  }

  private final Clock clock;
  private final int cores;
  private final int room;
  private final Deque<Job> waiting = new ArrayDeque<>();
  private int busy;
  private long epoch; // what was begun before it was emptied ends unheard
  private double pausedUntil;

  Server(Clock clock, int cores, int room) {
    this.clock = clock;
    this.cores = cores;
    this.room = room;
  }

  /** Takes work, or answers null where the waiting room is full. */
  Job take(DoubleSupplier work, Runnable done) {
    Job job = new Job(work, done);
    if (busy >= cores || clock.now() < pausedUntil) {
      if (waiting.size() >= room) {
        return null;
      }
      waiting.add(job);
      return job;
    }
    begin(job);
    return job;
  }

  /** Nobody waits for this work any more: it goes on if it has begun. */
  void drop(Job job) {
    if (!job.begun) {
      job.dropped = true;
      waiting.remove(job);
    }
  }

  private void begin(Job job) {
    job.begun = true;
    busy++;
    long begunIn = epoch;
    clock.after(job.work.getAsDouble(), () -> {
      if (begunIn == epoch) {
        busy--;
        job.done.run();
        next();
      }
    });
  }

  private void next() {
    while (busy < cores && clock.now() >= pausedUntil && !waiting.isEmpty()) {
      begin(waiting.poll());
    }
  }

  /** Begins nothing for a while; what has begun goes on. */
  void pause(double time) {
    pausedUntil = Math.max(pausedUntil, clock.now() + time);
    clock.at(pausedUntil, this::next);
  }

  boolean isPaused() {
    return clock.now() < pausedUntil;
  }

  /** Loses all work, as a process does that dies. */
  void empty() {
    epoch++;
    busy = 0;
    waiting.clear();
  }
}
