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

/** Clients of one proxy, each with one request out at a time, which together keep to a rate. */
final class LoadClients {

  private static final int KEYS = 1 << 16;
  private static final int BUFFER = 1 << 18;
  private static final long MAX_US = 10_000_000;

  private final ServeProcess proxy;
  private final long[] keys = Workload.keys(KEYS);
  private final AtomicLong lastId = new AtomicLong();
  private final AtomicLong served = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();
  private final Histogram times = new ConcurrentHistogram(MAX_US, 3);
  private volatile boolean ended;

  LoadClients(ServeProcess proxy) {
    this.proxy = proxy;
  }

  long served() {
    return served.get();
  }

  long refused() {
    return refused.get();
  }

  /** Times of answers in microseconds, from the moment at which a request was due. */
  Histogram times() {
    return times;
  }

  /** Asks with so many clients at a rate, or as fast as they can where it is 0, until told to end. */
  List<Thread> start(int clients, double rate) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      long gap = rate > 0 ? (long) (1e9 * clients / rate) : 0;
      long first = System.nanoTime() + gap * i / clients;
      Thread thread = new Thread(() -> play(first, gap), "client");
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  void end() {
    ended = true;
  }

  private void play(long first, long gap) {
    byte[] buffer = new byte[BUFFER];
    try (Socket socket = proxy.connect()) {
      InputStream in = new BufferedInputStream(socket.getInputStream(), BUFFER);
      for (long due = first; !ended; due = gap > 0 ? due + gap : System.nanoTime()) {
        for (long wait = due - System.nanoTime(); wait > 0; wait = due - System.nanoTime()) {
          LockSupport.parkNanos(wait);
        }
        ask(socket, in, buffer);
        times.recordValue(Math.min(MAX_US, Math.max(0, System.nanoTime() - due) / 1_000));
      }
    } catch (IOException e) {
      if (!ended) {
        throw new IllegalStateException("a client's connection has ended", e);
      }
    }
  }

  private void ask(Socket socket, InputStream in, byte[] buffer) throws IOException {
    long id = lastId.incrementAndGet();
    String key = Long.toHexString(keys[(int) (id % KEYS)]);
    String command = "mg " + key + " v O" + Long.toHexString(id) + " Pc=read,t=acme,d=900\r\n";
    socket.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
    String head = ServeProcess.line(in);
    if (head == null) {
      throw new IOException("closed by the proxy");
    }
    if (!head.startsWith("VA ")) {
      refused.incrementAndGet();
      return;
    }
    for (int left = Integer.parseInt(head.split(" ")[1]) + 2; left > 0;) {
      int read = in.read(buffer, 0, Math.min(left, buffer.length));
      if (read < 0) {
        throw new IOException("closed within a value");
      }
      left -= read;
    }
    served.incrementAndGet();
  }
}
