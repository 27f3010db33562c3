package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.cli.Main;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes of one proxy, each a Java machine of its own, replaced under load among scripted peers. */
@Timeout(90)
class UpgradeTest {

  private static final int DOOR_FREE = 2; // requests an upgrade that may end at the door

  @TempDir
  private Path directory;
  private final List<Process> processes = new ArrayList<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>(); // by request
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger next = new AtomicInteger();
  private volatile boolean stopped;
  private List<Stub> caches;
  private Stub discovery;
  private Path config;
  private int port;

  @BeforeEach
  void configure() throws Exception {
    caches = List.of(cache(), cache());
    String hosts = ProxyFixture.host("a", caches.get(0).address(), "m2") + ","
        + ProxyFixture.host("b", caches.get(1).address(), "m2");
    String list = "{\"seq\":2,\"whole\":true,\"hosts\":[" + hosts + "]}\n";
    discovery = new Stub(peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(list.length())
          + "\r\n" + list + "\r\n");
      peer.beSilent();
    });
    port = freePort();
    config = directory.resolve("config.json");
    Files.writeString(config, "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"seed\":\"1\","
        + "\"discovery\":\"" + discovery.address() + "\",\"limits\":{\"sockets\":384},\"known\":{\"seq\":1,"
        + "\"whole\":true,\"hosts\":[" + hosts + "]},\"settings\":" + ProxyFixture.SETTINGS + "}");
  }

  @AfterEach
  void end() throws Exception {
    stopped = true;
    for (Process process : processes) {
      process.destroyForcibly().waitFor();
    }
    for (Stub cache : caches) {
      cache.close();
    }
    discovery.close();
  }

  private Stub cache() throws IOException {
    return new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        String id = line.startsWith("mg") ? line.split(" ")[3] : "";
        if (!id.isEmpty()) {
          runs.merge(id, 1, Integer::sum);
        }
        peer.say(id.isEmpty() ? "MN\r\n" : "VA 2 " + id + " h1\r\nok\r\n");
      }
    });
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }

  private Process begin(int ops) throws IOException {
    ProcessBuilder builder = new ProcessBuilder(ProcessHandle.current().info().command().orElse("java"),
        "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Djava.net.preferIPv4Stack=true", "-cp",
        System.getProperty("java.class.path"), Main.class.getName(), "serve", "--config", config.toString());
    builder.environment().put("PROXY_OPS", "127.0.0.1:" + ops);
    builder.environment().put("TMPDIR", directory.toString());
    Process process = builder.redirectErrorStream(true)
        .redirectOutput(directory.resolve("log-" + processes.size()).toFile()).start();
    processes.add(process);
    return process;
  }

  private static String call(int ops, String what) {
    try (Client caller = new Client(ops)) {
      return caller.ask(what + " HTTP/1.1\r\nHost: ops\r\n\r\n").split(" ")[1];
    } catch (IOException | RuntimeException e) {
      return "none"; // it does not listen yet
    }
  }

  private Process beginAndAwait(int ops) throws Exception {
    Process process = begin(ops);
    while (!call(ops, "GET /_ready").equals("200")) {
      assertTrue(process.isAlive(), "it ended before it was ready");
      Thread.onSpinWait();
    }
    return process;
  }

  /** Asks on ever new connections, as fast as answers come, until the test has ended. */
  private List<Thread> load(int clients) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      Thread thread = new Thread(() -> {
        while (!stopped) {
          String id = "O" + next.incrementAndGet();
          try (Client client = new Client(port)) {
            String answer = client.ask("mg " + Integer.toHexString(id.hashCode()) + " v " + id
                + " Pc=read,t=acme,d=900\r\n");
            (answer == null ? lost : answered).incrementAndGet();
          } catch (IOException e) {
            lost.incrementAndGet();
          }
        }
      });
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  private void awaitAnswers(int more) {
    int from = answered.get();
    while (answered.get() < from + more) {
      Thread.onSpinWait();
    }
  }

  private void stop(List<Thread> threads) throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  @Test
  void anUpgradeLosesNoMoreThanIsFreeAndRunsNothingTwiceAndBansOutlastIt() throws Exception {
    int first = freePort();
    int second = freePort();
    Process old = beginAndAwait(first);
    List<Thread> threads = load(3);
    awaitAnswers(50);
    assertEquals("200", call(first, "POST /_cache-nodes/detach/a"));
    Process successor = beginAndAwait(second);
    caches.get(0).lines.clear();
    old.destroy(); // SIGTERM
    assertTrue(old.waitFor(10, TimeUnit.SECONDS));
    assertEquals(0, old.exitValue());
    awaitAnswers(50);
    stop(threads);
    assertTrue(successor.isAlive());
    assertTrue(lost.get() <= DOOR_FREE, "ended at the door: " + lost);
    assertEquals(List.of(), runs.entrySet().stream().filter(e -> e.getValue() > 1).toList(), "run twice");
    assertEquals(List.of(), caches.get(0).lines.stream().filter(l -> l.startsWith("mg")).toList(),
        "sent to the node that is out");
    assertEquals("200", call(second, "POST /_cache-nodes/attach/a"));
  }

  /** A new process that is killed, before or after it is ready, leaves the old one serving. */
  @Test
  void aNewProcessThatIsKilledLeavesTheOldOneServing() throws Exception {
    Process old = beginAndAwait(freePort());
    for (int i = 0; i < 2; i++) {
      Process successor = i == 0 ? begin(freePort()) : beginAndAwait(freePort());
      successor.destroyForcibly().waitFor();
      lost.set(0);
      stopped = false;
      List<Thread> threads = load(2);
      awaitAnswers(50);
      stop(threads);
      assertEquals(0, lost.get());
      assertTrue(old.isAlive());
    }
  }

  /** The old process may be killed outright: what it held is lost, and the new one serves all that comes. */
  @Test
  void anOldProcessThatIsKilledLeavesTheNewOneServing() throws Exception {
    Process old = beginAndAwait(freePort());
    beginAndAwait(freePort());
    old.destroyForcibly().waitFor();
    List<Thread> threads = load(2);
    awaitAnswers(50);
    stop(threads);
    assertEquals(0, lost.get());
  }
}
