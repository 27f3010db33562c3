package beampoint.client;

import beampoint.log.Log;
import beampoint.transport.Arrivals;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.Processor;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.nio.transport.TCPNIOBindingHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * The listener at the clients' address: accepts as long as there is room, and knows since when those whom it
 * accepts can have waited. Belongs to the decision thread.
 */
final class ClientListener {

  private static final Log LOG = Log.of("client");

  /** In which pass a connection was accepted, and since when it can have waited for that, in ms. */
  private record Accepted(long pass, double since) {}

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final Arrivals arrivals;
  private final AtomicInteger connections = new AtomicInteger();
  private final Attribute<Accepted> acceptance =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("acceptance");
  private volatile int maxConnections = 1;
  private volatile boolean full;
  private double backlogSince = Double.NaN; // who waits came no sooner, in ms; NaN where nobody waits
  private boolean acceptsMore; // in a task that is queued
  private TCPNIOServerConnection listener;

  ClientListener(TCPNIOTransport transport, ScheduledExecutorService loop, Arrivals arrivals) {
    this.transport = transport;
    this.loop = loop;
    this.arrivals = arrivals;
  }

  /** Sets how many connections there may be; those beyond wait to be accepted. */
  void limit(int most) {
    maxConnections = most;
  }

  int limit() {
    return maxConnections;
  }

  /** Listens on this address only; returns it with the port that the system picks where it is 0. */
  InetSocketAddress listen(SocketAddress address, Processor<?> chain) throws IOException {
    listener = TCPNIOBindingHandler.builder(transport).processor(chain).build().bind(address);
    return (InetSocketAddress) listener.getLocalAddress();
  }

  boolean isClosed() {
    return listener == null;
  }

  /**
   * A connection was accepted; those that wait besides are accepted in this pass too, while there is room.
   */
  void accepted(Connection<?> connection) {
    if (Double.isNaN(backlogSince)) {
      backlogSince = arrivals.earliest();
    }
    acceptance.set(connection, new Accepted(arrivals.pass(), backlogSince));
    if (connections.incrementAndGet() >= maxConnections) {
      full = true;
      setAccepting(false);
    } else if (!acceptsMore) {
      acceptsMore = true;
      loop.execute(this::acceptMore);
    }
  }

  /** A connection has ended. */
  void ended() {
    connections.decrementAndGet();
  }

  /**
   * When what is read on a connection can have come, in ms. Guards against a request that counts as fresh
   * though it came while its client waited to be accepted: its first bytes may be as old as that wait.
   */
  double arrivedAt(Connection<?> connection) {
    Accepted own = acceptance.get(connection);
    boolean isFirst = own != null && arrivals.pass() <= own.pass + 1;
    return isFirst ? Math.min(own.since, arrivals.earliest()) : arrivals.earliest();
  }

  /** The last of many would wait for as many passes of the selector, if each pass took one. */
  private void acceptMore() {
    acceptsMore = false;
    acceptWaiting(() -> !full);
    backlogSince = full ? backlogSince : Double.NaN;
  }

  /** Accepts those that wait as long as a condition holds. */
  private void acceptWaiting(BooleanSupplier goesOn) {
    try {
      for (int before = -1; listener != null && goesOn.getAsBoolean() && connections.get() > before;) {
        before = connections.get();
        listener.onAccept();
      }
    } catch (IOException e) {
      LOG.error("can't accept those that wait", e);
    }
  }

  void acceptWhileThereIsRoom() {
    if (full && listener != null && connections.get() < maxConnections) {
      full = false;
      setAccepting(true);
    }
  }

  private void setAccepting(boolean on) {
    try {
      if (on) {
        listener.enableIOEvent(IOEvent.SERVER_ACCEPT);
      } else {
        listener.disableIOEvent(IOEvent.SERVER_ACCEPT);
      }
    } catch (IOException e) {
      LOG.error("can't " + (on ? "resume" : "pause") + " accepting", e);
    }
  }

  /**
   * Takes no more connections, and then runs a task. As long as the selector knows the listener, closing
   * takes effect only with the next selection, and who connects until then would be reset. So it is taken
   * from the selector first, then all that wait are accepted, and right after that it is closed.
   */
  void close(Runnable then) {
    if (listener == null) {
      then.run();
      return;
    }
    leaveSelector();
    loop.schedule(() -> {
      acceptRest();
      closeChannel();
      then.run();
    }, 1, TimeUnit.MILLISECONDS);
  }

  /** From the next selection on nobody is accepted by it. */
  void leaveSelector() {
    listener.getSelectionKey().cancel();
  }

  /** Accepts all that wait, also beyond the limit. */
  void acceptRest() {
    acceptWaiting(() -> true);
  }

  /** Who connects between the last accept and this is reset, with nothing read. */
  void closeChannel() {
    try {
      listener.getChannel().close();
    } catch (IOException e) {
      LOG.error("can't close the listener", e);
    }
    listener.closeSilently();
    listener = null;
  }
}
