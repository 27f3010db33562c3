package beampoint;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;

/** A scripted server on loopback: runs its script for each connection, on a thread of its own. */
public final class Stub implements AutoCloseable {

  /** What the server does with one connection. */
  public interface Script {
    void play(Peer peer) throws IOException, InterruptedException;
  }

  /** One accepted connection. */
  public static final class Peer {
    public final Socket socket;
    private final InputStream in;
    private final Stub stub;

    private Peer(Socket socket, Stub stub) throws IOException {
      this.socket = socket;
      this.in = new BufferedInputStream(socket.getInputStream());
      this.stub = stub;
    }

    public Stub stub() {
      return stub;
    }

    /** The next line, which is also added to the stub's lines; null at the end of the stream. */
    public String line() throws IOException {
      String line = readLine(in);
      if (line != null) {
        stub.lines.add(line);
      }
      return line;
    }

    /** The lines of a message head up to the empty line; null at the end of the stream. */
    public String head() throws IOException {
      StringBuilder head = new StringBuilder();
      for (String line = line(); line != null; line = line()) {
        if (line.isEmpty()) {
          return head.toString();
        }
        head.append(line).append('\n');
      }
      return null;
    }

    public String bytes(int count) throws IOException {
      return new String(in.readNBytes(count), StandardCharsets.ISO_8859_1);
    }

    public void say(String text) throws IOException {
      socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
      socket.getOutputStream().flush();
    }

    /** Closes the connection with a reset, as happens when a process dies. */
    public void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
    }

    /** Sends nothing until the other side closes the connection, and drops what it receives. */
    public void beSilent() throws IOException {
      while (in.read() >= 0) {
        // dropped
      }
      stub.ends.add(true);
    }
  }

  /** Receives each interval during which the stub could accept no connection. */
  public interface BusyListener {

    /** Called as soon as the stub can accept again, with the time in ns for which it was busy. */
    void busy(long durationNanos);
  }

  private final ServerSocket server;
  private final Script script;
  private final Executor executor;
  private final BusyListener busyListener;
  private final List<Socket> sockets = new CopyOnWriteArrayList<>();
  /** The lines read on all connections. */
  public final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
  /** One entry for each connection in {@link Peer#beSilent} that the other side closed. */
  public final LinkedBlockingQueue<Boolean> ends = new LinkedBlockingQueue<>();

  public Stub(Script script) throws IOException {
    this(script, Stub::startThread, durationNanos -> {});
  }

  /** A stub whose connections are served by an executor, which has a thread for each at any time. */
  public Stub(Script script, Executor executor, BusyListener busyListener) throws IOException {
    this.script = script;
    this.executor = executor;
    this.busyListener = busyListener;
    this.server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Thread thread = new Thread(this::accept, "stub");
    thread.setDaemon(true);
    thread.start();
  }

  private static void startThread(Runnable task) {
    Thread thread = new Thread(task, "stub-connection");
    thread.setDaemon(true);
    thread.start();
  }

  /** A loopback address on which nothing listens. */
  public static String nobody() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return "127.0.0.1:" + free.getLocalPort();
    }
  }

  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  public int connections() {
    return sockets.size();
  }

  /** The next line read on any connection; fails after 5 s without one. */
  public String nextLine() throws InterruptedException {
    String line = lines.poll(5, TimeUnit.SECONDS);
    if (line == null) {
      throw new AssertionError("no line received within 5 s");
    }
    return line;
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = server.accept();
        long acceptedAt = System.nanoTime();
        sockets.add(socket);
        executor.execute(() -> play(socket));
        busyListener.busy(System.nanoTime() - acceptedAt);
      }
    } catch (IOException | RejectedExecutionException e) {
      // closed at the end of the test
    }
  }

  private void play(Socket socket) {
    try (socket) {
      script.play(new Peer(socket, this));
    } catch (IOException | InterruptedException e) {
      // the other side closed the connection; tests check what it received before
    }
  }

  /** The next line, without its LF or CRLF; null at the end of the stream. */
  public static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int b = in.read(); b >= 0; b = in.read()) {
      if (b == '\n') {
        int length = line.length();
        boolean ends = length > 0 && line.charAt(length - 1) == '\r';
        return ends ? line.substring(0, length - 1) : line.toString();
      }
      line.append((char) b);
    }
    return null;
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket socket : sockets) {
      socket.close();
    }
  }
}
