package beampoint.benchmark;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Clients of one proxy, each with one request in flight, that together send at a given rate. */
final class LoadClients {

  private static final int KEYS = 1 << 16;
  private static final int BUFFER_BYTES = 1 << 18;
  private static final long MAX_US = 10_000_000;

  private final ServeProcess proxy;
  private final long[] keys = Workload.keys(KEYS);
  private final AtomicLong lastId = new AtomicLong();
  private final AtomicLong served = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final Histogram times = new ConcurrentHistogram(MAX_US, 3);
  private volatile boolean stopped;

  LoadClients(ServeProcess proxy) {
    this.proxy = proxy;
  }

  long served() {
    return served.get();
  }

  long refused() {
    return refused.get();
  }

  /** Latencies in microseconds, from the time at which a request was due. */
  Histogram times() {
    return times;
  }

  /** Starts clients that send {@code rate} requests per second in all, or as fast as they can if it is 0. */
  List<Thread> start(int clients, double rate) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      long intervalNs = rate > 0 ? (long) (1e9 * clients / rate) : 0;
      long firstDueNs = System.nanoTime() + intervalNs * i / clients;
      Thread thread = new Thread(() -> run(firstDueNs, intervalNs), "client");
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  void stop() {
    stopped = true;
  }

  private void run(long firstDueNs, long intervalNs) {
    byte[] buffer = new byte[BUFFER_BYTES];
    try (Socket socket = proxy.connect()) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES);
      for (long due = firstDueNs; !stopped; due = intervalNs > 0 ? due + intervalNs : System.nanoTime()) {
        for (long wait = due - System.nanoTime(); wait > 0; wait = due - System.nanoTime()) {
          LockSupport.parkNanos(wait);
        }
        request(socket, in, buffer);
        times.recordValue(Math.min(MAX_US, Math.max(0, System.nanoTime() - due) / 1_000));
      }
    } catch (IOException e) {
      if (!stopped) {
        throw new IllegalStateException("client connection failed", e);
      }
    }
  }

  private void request(Socket socket, InputStream in, byte[] buffer) throws IOException {
    long id = lastId.incrementAndGet();
    String key = Long.toHexString(keys[(int) (id % KEYS)]);
    String command = "mg " + key + " v O" + Long.toHexString(id) + " Pc=read,t=acme,d=900\r\n";
    socket.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
    String head = ServeProcess.line(in);
    if (head == null) {
      throw new IOException("connection closed by the proxy before its answer");
    }
    if (!head.startsWith("VA ")) {
      refused.incrementAndGet();
      return;
    }
    for (int remaining = Integer.parseInt(head.split(" ")[1]) + 2; remaining > 0;) {
      int read = in.read(buffer, 0, Math.min(remaining, buffer.length));
      if (read < 0) {
        throw new IOException("connection closed within a value");
      }
      remaining -= read;
    }
    served.incrementAndGet();
  }
}
