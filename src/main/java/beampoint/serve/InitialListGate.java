package beampoint.serve;

import java.util.ArrayList;
import java.util.List;

/**
 * Holds what must not be decided on the remembered list alone. What discovery has counts as told from the
 * first moment of a process, and clients that kept the address of one that was killed ask the next as soon as
 * it listens: a drain of which the configuration does not know would be broken by the first request. Belongs
 * to the decision thread.
 */
final class InitialListGate {

  private final EventLoop loop;
  private final List<Runnable> waiting = new ArrayList<>();
  private boolean known;

  InitialListGate(EventLoop loop) {
    this.loop = loop;
  }

  /** Runs a task once discovery was heard or has not answered, or after so many ms, whichever is sooner. */
  void whenKnown(double longestMs, Runnable task) {
    if (known) {
      task.run();
      return;
    }
    waiting.add(task);
    loop.after(longestMs, () -> {
      if (waiting.remove(task)) {
        task.run();
      }
    });
  }

  /** Discovery was heard, or can't be for now. */
  void known() {
    known = true;
    List<Runnable> held = List.copyOf(waiting);
    waiting.clear();
    held.forEach(Runnable::run);
  }
}
