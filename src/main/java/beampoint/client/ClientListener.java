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
 * The listener at the clients' address: accepts connections up to a limit, and tracks how long each may have
 * waited to be accepted. Confined to the decision thread.
 */
final class ClientListener {

  private static final Log LOG = Log.of("client");

  /** In which selector pass a connection was accepted, and the earliest time it can have connected, in ms. */
  private record Acceptance(long pass, double connectedSince) {}

  private final TCPNIOTransport transport;
  private final ScheduledExecutorService loop;
  private final Arrivals arrivals;
  private final AtomicInteger connections = new AtomicInteger();
  private final Attribute<Acceptance> acceptance =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("acceptance");
  private volatile int maxConnections = 1;
  private volatile boolean full;
  private double pendingSince = Double.NaN; // earliest connect of those to be accepted, in ms; NaN: none
  private boolean acceptScheduled;
  private TCPNIOServerConnection listener;

  ClientListener(TCPNIOTransport transport, ScheduledExecutorService loop, Arrivals arrivals) {
    this.transport = transport;
    this.loop = loop;
    this.arrivals = arrivals;
  }

  /** Sets the maximum number of connections; further ones wait to be accepted. */
  void setMaxConnections(int max) {
    maxConnections = max;
  }

  int maxConnections() {
    return maxConnections;
  }

  /** Listens on this address only; returns it with the actual port, which the system picks if it is 0. */
  InetSocketAddress listen(SocketAddress address, Processor<?> chain) throws IOException {
    listener = TCPNIOBindingHandler.builder(transport).processor(chain).build().bind(address);
    return (InetSocketAddress) listener.getLocalAddress();
  }

  boolean isClosed() {
    return listener == null;
  }

  /**
   * Registers an accepted connection. Stops accepting at the limit; otherwise schedules the acceptance of the
   * other pending ones in this selector pass.
   */
  void accepted(Connection<?> connection) {
    if (Double.isNaN(pendingSince)) {
      pendingSince = arrivals.earliest();
    }
    acceptance.set(connection, new Acceptance(arrivals.passNumber(), pendingSince));
    if (connections.incrementAndGet() >= maxConnections) {
      full = true;
      setAccepting(false);
    } else if (!acceptScheduled) {
      acceptScheduled = true;
      loop.execute(this::acceptMore);
    }
  }

  /** Counts one connection less, after one has ended. */
  void connectionClosed() {
    connections.decrementAndGet();
  }

  /**
   * The earliest time at which the bytes that are read on a connection can have arrived, in ms. The first
   * bytes of a connection may have arrived while it waited to be accepted, so they count as arrived when the
   * connection may first have been established.
   */
  double arrivedAt(Connection<?> connection) {
    Acceptance accepted = acceptance.get(connection);
    boolean isFirst = accepted != null && arrivals.passNumber() <= accepted.pass + 1;
    return isFirst ? Math.min(accepted.connectedSince, arrivals.earliest()) : arrivals.earliest();
  }

  /** Accepts the pending connections at once; otherwise the selector would accept one per pass. */
  private void acceptMore() {
    acceptScheduled = false;
    acceptPending(() -> !full);
    pendingSince = full ? pendingSince : Double.NaN;
  }

  /** Accepts pending connections as long as a condition holds. */
  private void acceptPending(BooleanSupplier condition) {
    try {
      for (int before = -1; listener != null && condition.getAsBoolean() && connections.get() > before;) {
        before = connections.get();
        listener.onAccept();
      }
    } catch (IOException e) {
      LOG.error("failed to accept pending connections", e);
    }
  }

  /** Accepts connections again if the limit was reached and no longer is. */
  void resumeAccepting() {
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
      LOG.error("failed to " + (on ? "resume" : "pause") + " accepting connections", e);
    }
  }

  /**
   * Closes the listener, and then runs a task. While the listener is registered with the selector, its close
   * takes effect only in the next selection, and clients that connect until then would be reset. So it is
   * deregistered first, then all pending connections are accepted, and immediately after that it is closed.
   */
  void close(Runnable onClosed) {
    if (listener == null) {
      onClosed.run();
      return;
    }
    deregister();
    loop.schedule(() -> {
      acceptAllPending();
      closeChannel();
      onClosed.run();
    }, 1, TimeUnit.MILLISECONDS);
  }

  /** Deregisters the listener: from the next selection on, the selector accepts no connections. */
  void deregister() {
    listener.getSelectionKey().cancel();
  }

  /** Accepts all pending connections, even beyond the limit. */
  void acceptAllPending() {
    acceptPending(() -> true);
  }

  /**
   * Closes the socket. A client that has connected since the last accept is reset, and nothing of it is read.
   */
  void closeChannel() {
    try {
      listener.getChannel().close();
    } catch (IOException e) {
      LOG.error("failed to close the listener", e);
    }
    listener.closeSilently();
    listener = null;
  }
}
