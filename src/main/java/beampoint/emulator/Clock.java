package beampoint.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: what is due runs in the order of its times and, at one time, in the order of its setting. */
class Clock {

  /** What is due at a time. */
  record Task(double at, long number, Runnable run) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::number));
  private double now;
  private long number;

  Clock(double start) {
    now = start;
  }

  double now() {
    return now;
  }

  void at(double time, Runnable task) {
    tasks.add(new Task(Math.max(now(), time), ++number, task));
  }

  void after(double delay, Runnable task) {
    at(now() + Math.max(0, delay), task);
  }

  /** The next task, or null where none is set. */
  final Task peek() {
    return tasks.peek();
  }

  final Task poll() {
    return tasks.poll();
  }

  /** Runs all that is due up to a time; returns how many tasks that were. */
  long runTo(double end) {
    long run = 0;
    while (!tasks.isEmpty() && tasks.peek().at() <= end) {
      Task task = tasks.poll();
      now = task.at();
      task.run().run();
      run++;
    }
    now = end;
    return run;
  }
}
