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

/** A scripted discovery service: sends each watch the full list, changes and heartbeats, unless silent. */
final class DiscoveryPeer implements AutoCloseable {

  private static final double HEARTBEAT_INTERVAL_MS = 1000;
  private static final double MAX_PROPAGATION_MS = 6000; // a change counts as known to all after this time

  private final RunContext context;
  private final Stub stub;
  private final Map<String, String> entries = new LinkedHashMap<>(); // by host
  private final List<String> initialEntries = new ArrayList<>(); // entries before any change
  private final Set<Stub.Peer> watches = ConcurrentHashMap.newKeySet();
  private final Map<String, Double> drainKnownAt = new TreeMap<>();
  private volatile boolean silent;
  private long sequence = 1;
  private volatile boolean closed;

  DiscoveryPeer(RunContext context) throws IOException {
    this.context = context;
    this.stub = new Stub(this::serve);
    Thread thread = new Thread(this::sendHeartbeats, "soak-discovery");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return stub.address();
  }

  synchronized void add(String host, String address, String hostClass) {
    entries.put(host, entry(host, address, hostClass, "Ready"));
    initialEntries.add(entries.get(host));
  }

  private static String entry(String host, String address, String hostClass, String health) {
    return "{\"host\":\"" + host + "\",\"dial\":\"" + address + "\",\"site\":\"a\",\"class\":\"" + hostClass
        + "\",\"block\":0,\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":0}";
  }

  /** The list without any change, as a configuration file has it for the start of a proxy. */
  synchronized String initialList() {
    return "{\"seq\":1,\"whole\":true,\"hosts\":[" + String.join(",", initialEntries) + "]}";
  }

  /** While silent, answers no call and sends nothing on open watches. */
  synchronized void setSilent(boolean silent) {
    this.silent = silent;
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

  private void sendHeartbeats() {
    while (!closed) {
      RunClock.sleep(HEARTBEAT_INTERVAL_MS);
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
   * Announces on all watches that a host drains. If fewer than {@code processes} watches get it, or discovery
   * is silent, the change counts as known to all only after {@link #MAX_PROPAGATION_MS}.
   */
  synchronized void drain(String host, String address, int processes) {
    String entry = entry(host, address, "m2", context.injects(Check.DRAIN) ? "Ready" : "Terminating");
    entries.put(host, entry);
    int notified = 0;
    for (Stub.Peer peer : watches) {
      try {
        write(peer, false, List.of(entry));
        notified++;
      } catch (IOException e) {
        watches.remove(peer);
      }
    }
    boolean allNotified = notified >= processes && !silent;
    drainKnownAt.put(host, context.clock().now() + (allNotified ? 0 : MAX_PROPAGATION_MS));
  }

  /** By host, the time by which its drain counts as known to every process, in ms of the run. */
  synchronized Map<String, Double> drainKnownAt() {
    return new TreeMap<>(drainKnownAt);
  }

  @Override
  public void close() throws IOException {
    closed = true;
    stub.close();
  }
}
