package beampoint.emulator;

import beampoint.emulator.ClientRequest.Outcome;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** The process of one proxy, and its clients' connections. */
final class ProxyProcess {

  private static final long READY_POLL_MS = 10;
  private static final long STOP_TIMEOUT_S = 10;

  private final ProcessFleet fleet;
  private final String name;
  private final ReservedPort port = new ReservedPort();
  private final ConcurrentLinkedDeque<Socket> idleSockets = new ConcurrentLinkedDeque<>();
  private final ExecutorService clients = Executors.newCachedThreadPool(task -> {
    Thread thread = new Thread(task, "client");
    thread.setDaemon(true);
    return thread;
  });
  private volatile Process process;
  private volatile boolean shouldRun;

  ProxyProcess(ProcessFleet fleet, String name) throws IOException {
    this.fleet = fleet;
    this.name = name;
  }

  /** Starts the process; {@code ready} runs once it answers a request. */
  void start(JsonObject config, Runnable ready) {
    shouldRun = true;
    config.addProperty("name", name);
    config.addProperty("listen", "127.0.0.1:" + port.number());
    try {
      Path file = Files.writeString(fleet.directory().resolve(name + ".json"), config.toString());
      List<String> command = new ArrayList<>(fleet.command());
      command.addAll(List.of("serve", "--config", file.toString()));
      Path log = fleet.directory().resolve(name + ".log");
      ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
          .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      builder.environment().remove("PROXY_OPS");
      process = builder.start();
    } catch (IOException e) {
      throw new IllegalStateException("proxy process could not be started: " + e.getMessage(), e);
    }
    Process started = process;
    clients.execute(() -> awaitReady(started, ready));
  }

  private void awaitReady(Process started, Runnable ready) {
    while (started.isAlive()) {
      try (Socket socket = connect()) {
        Listener.write(socket, "mn\r\n");
        if ("MN".equals(Listener.readLine(socket.getInputStream()))) {
          ready.run();
          return;
        }
        Thread.sleep(READY_POLL_MS);
      } catch (IOException e) {
        Thread.onSpinWait(); // the proxy does not listen yet
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  /** True if the process has ended without being killed. */
  boolean hasUnexpectedExit() {
    return shouldRun && process != null && !process.isAlive();
  }

  void kill() {
    shouldRun = false;
    if (process != null) {
      process.destroyForcibly();
    }
    for (Socket socket = idleSockets.poll(); socket != null; socket = idleSockets.poll()) {
      close(socket);
    }
  }

  /** Kills the process, waits until it has ended, and releases its port. */
  void stop() {
    kill();
    try {
      if (process != null && !process.waitFor(STOP_TIMEOUT_S, TimeUnit.SECONDS)) {
        throw new IllegalStateException("proxy process did not end after SIGKILL: " + name);
      }
      port.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Socket connect() throws IOException {
    Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port.number());
    socket.setTcpNoDelay(true);
    return socket;
  }

  static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      // already closed
    }
  }

  /** Sends a request on an idle connection or a new one; the listener is called on another thread. */
  ClientCall call(ClientRequest.Try clientTry, Scenario scenario, double now, String id,
      ClientCall.OutcomeListener listener) {
    ClientCall call = new ClientCall(ClientCall.command(clientTry, scenario, now, id), id, listener);
    clients.execute(() -> execute(call));
    return call;
  }

  private void execute(ClientCall call) {
    Socket idleSocket = idleSockets.pollLast();
    try {
      if (idleSocket != null && call.execute(idleSocket)) {
        idleSockets.addLast(idleSocket);
        return;
      }
      // The proxy may close an idle connection between requests, so the client sends once more on a new one.
      Socket socket = connect();
      if (call.execute(socket)) {
        idleSockets.addLast(socket);
      } else {
        call.finish(Outcome.LOST, 0);
      }
    } catch (IOException e) {
      call.finish(Outcome.FAILED, 0); // connection refused
    }
  }

  /** Reads so many bytes, or fewer at the end of the stream. */
  static String readString(InputStream in, int count) throws IOException {
    return new String(in.readNBytes(count), StandardCharsets.ISO_8859_1);
  }
}
