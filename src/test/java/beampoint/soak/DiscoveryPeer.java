package beampoint.soak;

import beampoint.Stub;
import beampoint.soak.Violation.Check;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Discovery: the whole list to each watch, changes as they come, and a sign of life; it can fall silent. */
final class DiscoveryPeer implements AutoCloseable {

  private static final double SIGN_OF_LIFE_MS = 1000;
  private static final double SLOW_TO_TELL_MS = 6000; // after which a change counts as told in any case

  private final RunContext context;
  private final Stub stub;
  private final Map<String, String> entries = new LinkedHashMap<>(); // by host
  private final List<String> remembered = new ArrayList<>(); // the entries as they were at first
  private final Set<Stub.Peer> watches = ConcurrentHashMap.newKeySet();
  private final Map<String, Double> drainKnownAt = new TreeMap<>();
  private volatile boolean silent;
  private long sequence = 1;
  private volatile boolean closed;

  DiscoveryPeer(RunContext context) throws IOException {
    this.context = context;
    this.stub = new Stub(this::serve);
    Thread thread = new Thread(this::showLife, "soak-discovery");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return stub.address();
  }

  synchronized void add(String host, String dial, String kind) {
    entries.put(host, entry(host, dial, kind, "Ready"));
    remembered.add(entries.get(host));
  }

  private static String entry(String host, String dial, String kind, String health) {
    return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"" + kind
        + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
  }

  /** The list as a configuration remembers it, which knows of no change. */
  synchronized String known() {
    return "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", remembered) + "]}";
  }

  /** Takes no call and says nothing on open watches, or serves again. */
  synchronized void silent(boolean on) {
    silent = on;
    notifyAll();
  }

  private void serve(Stub.Peer peer) throws IOException, InterruptedException {
    if (peer.head() == null) {
      return;
    }
    synchronized (this) {
      while (silent) {
        wait();
      }
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      write(peer, true, new ArrayList<>(entries.values()));
      watches.add(peer);
    }
    peer.beSilent();
    watches.remove(peer);
  }

  private void write(Stub.Peer peer, boolean whole, List<String> hosts) throws IOException {
    String line = "{\"seq\":" + ++sequence + ",\"whole\":" + whole + ",\"hosts\":["
        + String.join(",", hosts) + "]}\n";
    peer.say(Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
  }

  private void showLife() {
    while (!closed) {
      RunClock.sleep(SIGN_OF_LIFE_MS);
      if (!silent) {
        for (Stub.Peer peer : watches) {
          try {
            peer.say("1\r\n\n\r\n");
          } catch (IOException e) {
            watches.remove(peer);
          }
        }
      }
    }
  }

  /**
   * Tells that a host drains; so many processes should have a watch, else the change counts as told later.
   */
  synchronized void drain(String host, String dial, int processes) {
    String entry = entry(host, dial, "m2", context.injects(Check.DRAIN) ? "Ready" : "Terminating");
    entries.put(host, entry);
    int told = 0;
    for (Stub.Peer peer : watches) {
      try {
        write(peer, false, List.of(entry));
        told++;
      } catch (IOException e) {
        watches.remove(peer);
      }
    }
    boolean allTold = told >= processes && !silent;
    drainKnownAt.put(host, context.clock().now() + (allTold ? 0 : SLOW_TO_TELL_MS));
  }

  /** By when every process knew, or counts as told, of each drain; in ms of the run. */
  synchronized Map<String, Double> drainKnownAt() {
    return new TreeMap<>(drainKnownAt);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    stub.close();
  }
}
