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
 * The decision thread, which is the selector's own: once all that is ready has been read, it runs the tasks
 * that came of it and the timers that are due. Every state that is not a codec's belongs to it, and it alone
 * calls the module. Guards against one thread that wakes another for each message: of a part of one core that
 * took a third.
 */
final class EventLoop extends AbstractExecutorService implements ScheduledExecutorService {

  private static final Log LOG = Log.of("serve");
  private static final int MANY_CANCELLED = 1000;
  private static final long SLICE_NANOS = 10_000_000; // of tasks, before the selector has its turn again

  private final Queue<Runnable> tasks = new ConcurrentLinkedQueue<>();
  private final Queue<Runnable> afterNextRead = new ArrayDeque<>(); // tasks
  private final Queue<Runnable> newTimers = new ConcurrentLinkedQueue<>(); // set by other threads
  private final PriorityQueue<Timer<?>> timers =
      new PriorityQueue<>(Comparator.<Timer<?>>comparingLong(t -> t.dueAt).thenComparingLong(t -> t.number));
  private int cancelled; // of the timers
  private long lastNumber;
  private final SelectorPasses passes = new SelectorPasses(System.nanoTime());
  private volatile Selector selector;
  private volatile Thread thread;
  private volatile boolean stopped;

  /** What the transport is to be given. */
  DefaultSelectorHandler selectorHandler() {
    return new Handler();
  }

  private final class Handler extends DefaultSelectorHandler {

    @Override
    public Set<SelectionKey> select(SelectorRunner runner) throws IOException {
      selector = runner.getSelector();
      thread = Thread.currentThread();
      long askedAt = System.nanoTime();
      long untilNext = runner.getPostponedTasks().isEmpty() ? untilNext(askedAt) : 0;
      long longestMs = passes.longestWaitMs(askedAt, untilNext);
      int found = longestMs == 0 ? selector.selectNow() : selector.select(longestMs);
      passes.selected(askedAt, TimeUnit.MILLISECONDS.toNanos(longestMs), System.nanoTime());
      if (found == 0 && passes.selectionWasStalled()) {
        selector.selectNow(); // a wait that is over ends without what came while the process was stopped
      }
      tasks.addAll(afterNextRead);
      afterNextRead.clear();
      return selector.selectedKeys();
    }

    @Override
    public void postSelect(SelectorRunner runner) {
      runAll();
    }
  }

  /** When what is read can have come, by this clock; on this thread. */
  Arrivals arrivals(DoubleSupplier clock) {
    return new Arrivals() {
      @Override
      public double earliest() {
        return clock.getAsDouble() - (System.nanoTime() - passes.earliestArrival()) / 1e6;
      }

      @Override
      public long pass() {
        return passes.number();
      }

      @Override
      public void afterNextRead(Runnable task) {
        afterNextRead.add(task);
      }
    };
  }

  /** How long nothing is due, in ns. */
  private long untilNext(long now) {
    if (!tasks.isEmpty() || !afterNextRead.isEmpty() || !newTimers.isEmpty()) {
      return 0;
    }
    return timers.isEmpty() ? Long.MAX_VALUE : timers.peek().dueAt - now;
  }

  /**
   * Runs what is due. A long backlog lets the selector have its turn between, and where the thread was
   * stalled all is read once more first: no work is to be begun for clients whose end lies unread.
   */
  private void runAll() {
    long begun = System.nanoTime();
    if (passes.mustReadAgain(begun)) {
      return;
    }
    drain(newTimers, begun + Long.MAX_VALUE / 2);
    boolean all = drain(tasks, begun + SLICE_NANOS);
    long now = System.nanoTime();
    while (!timers.isEmpty() && timers.peek().dueAt - now <= 0) {
      Timer<?> timer = timers.poll();
      if (timer.isCancelled()) {
        cancelled--;
      } else if (all) {
        timer.fire();
        all = drain(tasks, begun + SLICE_NANOS);
      } else {
        tasks.add(timer::fire); // behind what was read before
      }
    }
  }

  /** True where nothing is left when the time is over. */
  private boolean drain(Queue<Runnable> queue, long until) {
    for (Runnable task = queue.poll(); task != null && !stopped; task = queue.poll()) {
      try {
        task.run();
      } catch (RuntimeException | Error e) {
        LOG.error("a task failed", e); // guards against an exception that nobody would see
      }
      if (System.nanoTime() - until > 0) {
        return queue.isEmpty();
      }
    }
    return true;
  }

  /** How many timers are kept. */
  int timerCount() {
    return timers.size();
  }

  /** Runs a task after those that were given before. */
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

  /** A task that runs later, once or again and again. */
  private final class Timer<V> extends FutureTask<V> implements ScheduledFuture<V> {
    private final long periodNanos; // 0: once
    private long dueAt;
    private long number;

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
      LOG.error("a task failed", cause);
      super.setException(cause);
    }

    @Override
    protected void done() {
      if (isCancelled() && Thread.currentThread() == thread && ++cancelled > MANY_CANCELLED
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
      timer.number = ++lastNumber;
      timers.add(timer);
    } else {
      newTimers.add(() -> {
        timer.number = ++lastNumber;
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

  /** Runs a task after so many ms. */
  void after(double delay, Runnable task) {
    schedule(task, (long) Math.max(0, delay * 1000), TimeUnit.MICROSECONDS);
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
