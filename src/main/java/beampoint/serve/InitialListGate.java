package beampoint.serve;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds tasks back until discovery has been contacted, so that no request is decided on the configured host
 * list alone. From its start on, a process must respect all changes that discovery has announced, and clients
 * that kept the address of a killed process send to its successor as soon as that listens. Without the gate
 * their first request could go to a host that is draining, which the configured list does not show. Confined
 * to the decision thread.
 */
final class InitialListGate {

  private final EventLoop loop;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean isOpen;

  InitialListGate(EventLoop loop) {
    this.loop = loop;
  }

  /**
   * Runs a task once a call to discovery has been answered or has failed, or after {@code maxWaitMs},
   * whichever comes first.
   */
  void runWhenOpen(double maxWaitMs, Runnable task) {
    if (isOpen) {
      task.run();
      return;
    }
    waiting.add(task);
    loop.after(maxWaitMs, () -> {
      if (waiting.remove(task)) {
        task.run();
      }
    });
  }

  /** Runs all waiting tasks, and later ones at once: a call to discovery has been answered or has failed. */
  void open() {
    isOpen = true;
    List<Runnable> held = List.copyOf(waiting);
    waiting.clear();
    held.forEach(Runnable::run);
  }
}
