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

/** A listener on loopback, one thread a connection; it can refuse for a while, and end what is open. */
final class Listener implements Closeable {

  private static final int MAX_LINE = 8192;
  private static final int BACKLOG = 256;

  /** What is done with a connection, on its own thread. */
  interface Service {
    void serve(Socket socket, InputStream in) throws IOException;
  }

  private final Service service;
  private final InetSocketAddress address;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket server;

  Listener(Service service) throws IOException {
    this.service = service;
    this.server = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    this.address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
    accept(server);
  }

  String address() {
    return "127.0.0.1:" + address.getPort();
  }

  /** Listens, or refuses whoever comes. */
  void listen(boolean on) throws IOException {
    if (!on && server != null) {
      server.close();
      server = null;
    } else if (on && server == null) {
      ServerSocket next = new ServerSocket();
      next.setReuseAddress(true);
      next.bind(address, BACKLOG);
      server = next;
      accept(next);
    }
  }

  private void accept(ServerSocket from) {
    start(() -> {
      try {
        while (true) {
          Socket socket = from.accept();
          socket.setTcpNoDelay(true);
          open.add(socket);
          start(() -> play(socket));
        }
      } catch (IOException e) {
        // it listens no more
      }
    });
  }

  private static void start(Runnable task) {
    Thread thread = new Thread(task, "stand-in");
    thread.setDaemon(true);
    thread.start();
  }

  private void play(Socket socket) {
    try (socket) {
      service.serve(socket, new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      // the other side has gone
    } finally {
      open.remove(socket);
    }
  }

  /** Ends all connections as a process does that dies. */
  void reset() {
    for (Socket socket : open) {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // it has ended already
      }
    }
  }

  /** A line without its end, or null at the end; one that is too long ends the connection. */
  static String line(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        int end = line.length() - 1;
        return end >= 0 && line.charAt(end) == '\r' ? line.substring(0, end) : line.toString();
      }
      if (line.length() > MAX_LINE) {
        throw new IOException("a line without end");
      }
      line.append((char) b);
    }
    return null;
  }

  static void write(Socket socket, String text) {
    try {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    } catch (IOException e) {
      // the other side has gone
    }
  }

  @Override
  public void close() throws IOException {
    listen(false);
    reset();
  }
}
