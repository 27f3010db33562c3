package beampoint.emulator;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Virtual time: tasks run in the order of their times, and those of one time in the order of their
 * scheduling.
 */
class Clock {

  record Task(double at, long sequence, Runnable run) {}

  private final PriorityQueue<Task> tasks =
      new PriorityQueue<>(Comparator.comparingDouble(Task::at).thenComparingLong(Task::sequence));
  private double now;
  private long sequence;

  Clock(double start) {
    now = start;
  }

  double now() {
    return now;
  }

  void at(double time, Runnable task) {
    tasks.add(new Task(Math.max(now(), time), ++sequence, task));
  }

  void after(double delay, Runnable task) {
    at(now() + Math.max(0, delay), task);
  }

  /** The next task, or null if none is scheduled. */
  final Task peek() {
    return tasks.peek();
  }

  final Task poll() {
    return tasks.poll();
  }

  /** Runs all tasks that are due up to a time, and returns their number. */
  long runTo(double end) {
    long executed = 0;
    while (!tasks.isEmpty() && tasks.peek().at() <= end) {
      Task task = tasks.poll();
      now = task.at();
      task.run().run();
      executed++;
    }
    now = end;
    return executed;
  }
}
