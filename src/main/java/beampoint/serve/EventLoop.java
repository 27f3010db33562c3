package beampoint.serve;

import beampoint.log.Log;
import beampoint.transport.Arrivals;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.Executors;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.nio.DefaultSelectorHandler;
import org.glassfish.grizzly.nio.SelectorRunner;

/**
 * The event loop of the decision thread, which is the selector's thread: once everything ready has been read,
 * it runs the resulting tasks and the timers that are due. All state except that of the codecs is confined to
 * this thread, and only this thread calls the decision module. With a separate thread for decisions, waking
 * it for each message took a third of the CPU time where the proxy had only a part of a core.
 */
final class EventLoop extends AbstractExecutorService implements ScheduledExecutorService {

  private static final Log LOG = Log.of("serve");
  private static final int MAX_CANCELLED = 1000; // cancelled timers that may stay in the queue
  private static final long TASK_SLICE_NANOS = 10_000_000; // how long tasks run before a selection

  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final Queue<Runnable> afterNextRead = new ArrayDeque<>();
  private final Queue<Runnable> newTimers = new ConcurrentLinkedQueue<>(); // set by other threads
  private final PriorityQueue<Timer<?>> timers = new PriorityQueue<>(
      Comparator.<Timer<?>>comparingLong(t -> t.dueAt).thenComparingLong(t -> t.sequence));
  private int cancelled; // timers still in the queue
  private long lastSequence;
  private final SelectorPasses passes = new SelectorPasses(System.nanoTime());
  private volatile Selector selector;
  private volatile Thread thread;
  private volatile boolean stopped;

  /** The selector handler to give to the transport. */
  DefaultSelectorHandler selectorHandler() {
    return new Handler();
  }

  private final class Handler extends DefaultSelectorHandler {

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
      selector = runner.getSelector();
      thread = Thread.currentThread();
      long startedAt = System.nanoTime();
      long untilNext = runner.getPostponedTasks().isEmpty() ? nanosUntilNext(startedAt) : 0;
      long maxWaitMs = passes.maxWaitMs(startedAt, untilNext);
      int found = maxWaitMs == 0 ? selector.selectNow() : selector.select(maxWaitMs);
      passes.selected(startedAt, TimeUnit.MILLISECONDS.toNanos(maxWaitMs), System.nanoTime());
      if (found == 0 && passes.selectionWasStalled()) {
        selector.selectNow(); // a wait that timed out misses what arrived while the process was paused
      }
      tasks.addAll(afterNextRead);
      afterNextRead.clear();
      return selector.selectedKeys();
    }

    @Override
    public void postSelect(SelectorRunner runner) {
      runDue();
    }
  }

  /** The times of arrival of what is read, by the given clock; for use on this thread. */
  Arrivals arrivals(DoubleSupplier clock) {
    return new Arrivals() {
      @Override
      public double earliest() {
        return clock.getAsDouble() - (System.nanoTime() - passes.earliestArrival()) / 1e6;
      }

      @Override
      public long passNumber() {
        return passes.passNumber();
      }

      @Override
      public void afterNextRead(Runnable task) {
        afterNextRead.add(task);
      }
    };
  }

  /** The time until the next task or timer is due, in ns. */
  private long nanosUntilNext(long now) {
    if (!tasks.isEmpty() || !afterNextRead.isEmpty() || !newTimers.isEmpty()) {
      return 0;
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt - now;
  }

  /**
   * Runs the tasks and timers that are due. If many tasks are queued, a selection is made after each
   * {@link #TASK_SLICE_NANOS}. After a stall of the thread, everything is read once more first, so that no
   * work starts for clients that have closed their connection while the close is still unread.
   */
  private void runDue() {
    long startedAt = System.nanoTime();
    if (passes.mustReadAgain(startedAt)) {
      return;
    }
    runTasks(newTimers, startedAt + Long.MAX_VALUE / 2); // without a time limit
    boolean isEmpty = runTasks(tasks, startedAt + TASK_SLICE_NANOS);
    long now = System.nanoTime();
    while (!timers.isEmpty() && timers.peek().dueAt - now <= 0) {
      Timer<?> timer = timers.poll();
      if (timer.isCancelled()) {
        cancelled--;
      } else if (isEmpty) {
        timer.fire();
        isEmpty = runTasks(tasks, startedAt + TASK_SLICE_NANOS);
      } else {
        tasks.add(timer::fire); // behind the tasks that are queued already
      }
    }
  }

  /** Runs queued tasks until the given time; true if the queue is empty then. */
  private boolean runTasks(Queue<Runnable> queue, long until) {
    for (Runnable task = queue.poll(); task != null && !stopped; task = queue.poll()) {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        LOG.error("a task failed on the decision thread", e); // otherwise nobody would see the exception
      }
      if (System.nanoTime() - until > 0) {
        return queue.isEmpty();
      }
    }
    return true;
  }

  /** The number of timers in the queue. */
  int timerCount() {
    return timers.size();
  }

  /** Queues a task behind those that are queued already. */
  @Override
  public void execute(Runnable task) {
    tasks.add(task);
    wakeUp();
  }

  private void wakeUp() {
    Selector current = selector;
    if (current != null && Thread.currentThread() != thread) {
      current.wakeup();
    }
  }

  /** A task that runs later, either once or periodically. */
  private final class Timer<V> extends FutureTask<V> implements ScheduledFuture<V> {
    private final long periodNanos; // 0 for a task that runs once
    private long dueAt;
    private long sequence;

    Timer(Callable<V> task, long delayNanos, long periodNanos) {
      super(task);
      this.dueAt = System.nanoTime() + Math.max(0, delayNanos);
      this.periodNanos = periodNanos;
    }

    void fire() {
      if (periodNanos == 0) {
        run();
      } else if (runAndReset()) {
        dueAt = System.nanoTime() + periodNanos;
        add(this);
      }
    }

    @Override
    protected void setException(Throwable cause) {
      LOG.error("a task failed on a timer of the decision thread", cause);
      super.setException(cause);
    }

    @Override
    protected void done() {
      if (isCancelled() && Thread.currentThread() == thread && ++cancelled > MAX_CANCELLED
          && cancelled > timers.size() / 2) {
        timers.removeIf(FutureTask::isCancelled);
        cancelled = 0;
      }
    }

    @Override
    public long getDelay(TimeUnit unit) {
      return unit.convert(dueAt - System.nanoTime(), TimeUnit.NANOSECONDS);
    }

    @Override
    public int compareTo(Delayed other) {
      return Long.compare(getDelay(TimeUnit.NANOSECONDS), other.getDelay(TimeUnit.NANOSECONDS));
    }
  }

  private void add(Timer<?> timer) {
    if (Thread.currentThread() == thread) {
      timer.sequence = ++lastSequence;
      timers.add(timer);
    } else {
      newTimers.add(() -> {
        timer.sequence = ++lastSequence;
        timers.add(timer);
      });
      wakeUp();
    }
  }

  private <V> Timer<V> start(Timer<V> timer) {
    add(timer);
    return timer;
  }

  @Override
  public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
    return start(new Timer<>(Executors.callable(task), unit.toNanos(delay), 0));
  }

  @Override
  public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long first, long delay, TimeUnit unit) {
    return start(new Timer<>(Executors.callable(task), unit.toNanos(first), unit.toNanos(delay)));
  }

  @Override
  public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long first, long period, TimeUnit unit) {
    return scheduleWithFixedDelay(task, first, period, unit);
  }

  /** Runs a task after a delay in ms. */
  void after(double delayMs, Runnable task) {
    schedule(task, (long) Math.max(0, delayMs * 1000), TimeUnit.MICROSECONDS);
  }

  @Override
  public <V> ScheduledFuture<V> schedule(Callable<V> task, long delay, TimeUnit unit) {
    return start(new Timer<>(task, unit.toNanos(delay), 0));
  }

  @Override
  public void shutdown() {
    stopped = true;
  }

  @Override
  public List<Runnable> shutdownNow() {
    stopped = true;
    return List.of();
  }

  @Override
  public boolean isShutdown() {
    return stopped;
  }

  @Override
  public boolean isTerminated() {
    return stopped;
  }

  @Override
  public boolean awaitTermination(long timeout, TimeUnit unit) {
    return stopped;
  }
}
