package beampoint.benchmark;

import com.google.gson.JsonObject;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Scripted peers of a proxy on loopback: one listener for all cache nodes and the origin, and discovery. */
final class ScriptedPeers implements AutoCloseable {

  private static final int BACKLOG = 512;
  private static final long HEARTBEAT_MS = 1_000;
  private static final int STACK_BYTES = 128 * 1024;

  private final byte[] value;
  private final ServerSocket cache;
  private final ServerSocket discovery;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private final String list;

  /** Serves one connection until it ends. */
  private interface ConnectionHandler {
    void handle(Socket socket) throws IOException, InterruptedException;
  }

  /** Cache nodes in {@code zones} zones that answer every read with {@code valueBytes} bytes. */
  ScriptedPeers(int caches, int zones, int valueBytes) throws IOException {
    value = new byte[valueBytes + 2];
    Arrays.fill(value, (byte) 'v');
    value[valueBytes] = '\r';
    value[valueBytes + 1] = '\n';
    cache = listen(this::serveCache);
    list = list(caches, zones).toString();
    discovery = listen(this::serveDiscovery);
  }

  JsonObject list(int caches, int zones) {
    return Workload.hostList(caches, zones, ServeProcess.HOST + ":" + cache.getLocalPort());
  }

  String discoveryAddress() {
    return ServeProcess.HOST + ":" + discovery.getLocalPort();
  }

  private ServerSocket listen(ConnectionHandler handler) throws IOException {
    ServerSocket server = new ServerSocket(0, BACKLOG, InetAddress.getByName(ServeProcess.HOST));
    startThread(() -> accept(server, handler));
    return server;
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(null, task, "peer", STACK_BYTES);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket server, ConnectionHandler handler) {
    try {
      while (true) {
        Socket socket = server.accept();
        socket.setTcpNoDelay(true);
        open.add(socket);
        startThread(() -> handle(socket, handler));
      }
    } catch (IOException e) {
      // the listener was closed
    }
  }

  private void handle(Socket socket, ConnectionHandler handler) {
    try (socket) {
      handler.handle(socket);
    } catch (IOException | InterruptedException e) {
      // the other side closed the connection
    } finally {
      open.remove(socket);
    }
  }

  private void serveCache(Socket socket) throws IOException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    for (String line = ServeProcess.line(in); line != null; line = ServeProcess.line(in)) {
      if (!line.startsWith("mg ")) {
        socket.getOutputStream().write("MN\r\n".getBytes(StandardCharsets.ISO_8859_1));
        continue;
      }
      String id = line.split(" ")[3];
      byte[] head = ("VA " + (value.length - 2) + " " + id + " h1\r\n").getBytes(StandardCharsets.ISO_8859_1);
      byte[] answer = Arrays.copyOf(head, head.length + value.length);
      System.arraycopy(value, 0, answer, head.length, value.length);
      socket.getOutputStream().write(answer);
    }
  }

  private void serveDiscovery(Socket socket) throws IOException, InterruptedException {
    InputStream in = new BufferedInputStream(socket.getInputStream());
    for (String line = ServeProcess.line(in); line != null && !line.isEmpty(); line = ServeProcess.line(in)) {
      // the request head; any request gets the full list first
    }
    write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    chunk(socket, list + "\n");
    while (!socket.isClosed()) {
      Thread.sleep(HEARTBEAT_MS);
      chunk(socket, "\n");
    }
  }

  private static void chunk(Socket socket, String text) throws IOException {
    write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void close() throws IOException {
    for (ServerSocket server : List.of(cache, discovery)) {
      server.close();
    }
    for (Socket socket : open) {
      socket.close();
    }
  }
}
