package beampoint.serve;

import beampoint.log.Log;
import java.util.concurrent.CancellationException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** The decision thread: every state that is not a codec's belongs to it, and it alone calls the module. */
final class Loop extends ScheduledThreadPoolExecutor {

  private static final Log LOG = Log.of("serve");

  Loop() {
    super(1, task -> {
      Thread thread = new Thread(null, task, "decisions", 256 * 1024);
      thread.setDaemon(false);
      return thread;
    });
    setRemoveOnCancelPolicy(true);
    setRejectedExecutionHandler(new DiscardPolicy()); // once stopped
  }

  /** Guards against a task whose exception nobody would see. */
  @Override
  protected void afterExecute(Runnable task, Throwable thrown) {
    Throwable cause = thrown;
    if (cause == null && task instanceof Future<?> future && future.isDone()) {
      try {
        future.get();
      } catch (ExecutionException e) {
        cause = e.getCause();
      } catch (CancellationException | InterruptedException e) {
        return;
      }
    }
    if (cause != null) {
      LOG.error("a task failed", cause);
    }
  }
}
