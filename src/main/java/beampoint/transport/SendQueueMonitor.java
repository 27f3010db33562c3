package beampoint.transport;

import beampoint.log.Log;
import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Finds out when the system has sent what was written to a socket and the peer's system has acknowledged
 * it. A write only moves bytes to the socket's send queue, where they stay as long as the peer does not read.
 * If more input arrives after the close of such a socket, the system sends a reset and drops the queue.
 *
 * <p>There is no portable call for the length of the queue. Instead the send buffer is set to its minimum
 * size: the socket is then ready for writing only once almost nothing is left in the queue. A separate
 * selector watches for that, since the transport's own waits for other events of the same sockets. Confined
 * to the thread of the loop, except for {@link #close()}.
 */
public final class SendQueueMonitor implements AutoCloseable {

  private static final Log LOG = Log.of("transport");
  private static final long POLL_INTERVAL_MS = 10;

  private final ScheduledExecutorService loop;
  private volatile Selector selector; // opened for the first socket
  private boolean pollScheduled;

  public SendQueueMonitor(ScheduledExecutorService loop) {
    this.loop = loop;
  }

  /**
   * Runs a task once the send queue of a socket is empty, which may be at once; never, if the socket is
   * closed before. Nothing may be written to the socket any more. If the queue can't be watched, for example
   * because no descriptor is left, the task runs at once.
   */
  public void whenEmpty(SocketChannel channel, Runnable task) {
    try {
      if (selector == null) {
        selector = Selector.open();
      }
      channel.setOption(StandardSocketOptions.SO_SNDBUF, 1); // the system raises it to its minimum
      channel.register(selector, SelectionKey.OP_WRITE, task);
    } catch (ClosedChannelException e) {
      return;
    } catch (IOException e) {
      task.run();
      return;
    }
    poll();
  }

  private void poll() {
    Selector open = selector;
    if (open == null) {
      return;
    }
    List<Runnable> ready = new ArrayList<>();
    try {
      open.selectNow(key -> {
        ready.add((Runnable) key.attachment());
        key.cancel();
      });
      open.selectNow(); // deregisters the cancelled keys: a registered channel stays open after its close
      if (!open.keys().isEmpty()) {
        pollLater();
      }
    } catch (IOException | ClosedSelectorException e) {
      LOG.error("failed to watch the send queues of sockets", e);
    }
    ready.forEach(Runnable::run);
  }

  private void pollLater() {
    if (!pollScheduled) {
      pollScheduled = true;
      loop.schedule(() -> {
        pollScheduled = false;
        poll();
      }, POLL_INTERVAL_MS, TimeUnit.MILLISECONDS);
    }
  }

  /** Stops watching; no task runs from here on. */
  @Override
  public void close() {
    Selector open = selector;
    selector = null;
    if (open != null) {
      try {
        open.close();
      } catch (IOException e) {
        // nothing is left to be released
      }
    }
  }
}
