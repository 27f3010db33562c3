package beampoint.emulator;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A listener on loopback with a thread per connection; it can refuse and reset connections. */
final class Listener implements Closeable {

  private static final int MAX_LINE = 8192;
  private static final int BACKLOG = 256;

  /** Handles a connection on its own thread. */
  interface ConnectionHandler {
    void handle(Socket socket, InputStream in) throws IOException;
  }

  private final ConnectionHandler handler;
  private final InetSocketAddress address;
  private final Set<Socket> openSockets = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;

  Listener(ConnectionHandler handler) throws IOException {
    this.handler = handler;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    this.address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    accept(server);
  }

  String address() {
    return "127.0.0.1:" + address.getPort();
  }

  /** Listens, or closes the listening socket, so that new connections are refused. */
  void setListening(boolean listening) throws IOException {
    if (!listening && server != null) {
      server.close();
      server = null;
    } else if (listening && server == null) {
      ServerSocket successor = new ServerSocket();
      successor.setReuseAddress(true);
      successor.bind(address, BACKLOG);
      server = successor;
      accept(successor);
    }
  }

  private void accept(ServerSocket acceptor) {
    start(() -> {
      try {
        while (true) {
          Socket socket = acceptor.accept();
          socket.setTcpNoDelay(true);
          openSockets.add(socket);
          start(() -> handleConnection(socket));
        }
      } catch (IOException e) {
        // the listening socket was closed
      }
    });
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    thread.start();
  }

  private void handleConnection(Socket socket) {
    try (socket) {
      handler.handle(socket, new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      // the peer has closed the connection
    } finally {
      openSockets.remove(socket);
    }
  }

  /** Resets all connections, as when a process dies. */
  void resetConnections() {
    for (Socket socket : openSockets) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // already closed
      }
    }
  }

  /**
   * Reads a line without its terminator, or null at the end of the stream; fails on a line that is too long.
   */
  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        int end = line.length() - 1;
        return end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString();
      }
      if (line.length() > MAX_LINE) {
        throw new IOException("line exceeds " + MAX_LINE + " bytes");
      }
      line.append((char) b);
    }
    return null;
  }

  static void write(Socket socket, String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      // the peer has closed the connection
    }
  }

  @Override
  public void close() throws IOException {
    setListening(false);
    resetConnections();
  }
}
