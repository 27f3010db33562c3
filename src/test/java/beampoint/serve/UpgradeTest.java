package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.TestProcess;
import beampoint.cli.Main;
import beampoint.emulator.ReservedPort;
import beampoint.handover.Ban;
import beampoint.handover.BanFile;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Processes of one proxy, each in a JVM of its own, that are replaced under load among scripted peers. */
@Timeout(90)
class UpgradeTest {

  private static final String LONG_ID = "Olong"; // begins the ids of requests whose value pauses half-way
  private static final int LONG_VALUE_BYTES = 1_000_000;
  private static final int SPARE_NODES = 400; // at addresses where nothing listens
  private static final double MAX_MEMORY_MB = 192; // of both processes together
  private static final int MAX_LOST = 2; // requests per upgrade, whose connection ends as the listener closes

  @TempDir
  private Path directory;
  private final List<Process> processes = new ArrayList<>();
  private final List<ReservedPort> ports = new ArrayList<>();
  private final Map<String, Integer> runs = new ConcurrentHashMap<>(); // by request id
  private final AtomicInteger lost = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lastId = new AtomicInteger();
  private volatile boolean stopped;
  private List<Stub> caches;
  private Stub discovery;
  private Path config;
  private int port;

  @BeforeEach
  void start() throws Exception {
    caches = List.of(cache(), cache());
    configure("");
  }

  private void configure(String spare) throws Exception {
    String hosts = ProxyFixture.host("a", caches.get(0).address(), "m2") + ","
        + ProxyFixture.host("b", caches.get(1).address(), "m2") + spare;
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
    for (ReservedPort reserved : ports) {
      reserved.close();
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
        if (id.startsWith(LONG_ID)) {
          peer.say("VA " + LONG_VALUE_BYTES + " " + id + "\r\n" + "x".repeat(LONG_VALUE_BYTES / 2));
          peer.stub().ends.take();
          peer.say("x".repeat(LONG_VALUE_BYTES / 2) + "\r\n");
          continue;
        }
        if (!id.isEmpty()) {
          runs.merge(id, 1, Integer::sum);
        }
        peer.say(id.isEmpty() ? "MN\r\n" : "VA 2 " + id + " h1\r\nok\r\n");
      }
    });
  }

  private int freePort() throws IOException {
    ReservedPort reserved = new ReservedPort();
    ports.add(reserved);
    return reserved.number();
  }

  /** Starts the program as operators do, with their flags for the JVM, but from the build's classes. */
  private Process startProcess(int ops) throws IOException {
    List<String> flags = new ArrayList<>();
    String run = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
        .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
    for (String word : run.split("[ \"]+")) {
      if (word.startsWith("-X") && !word.contains("Archive") || word.startsWith("-D")) {
        flags.add(word);
      }
    }
    ProcessBuilder builder = TestProcess.java(Main.class, flags, "serve", "--config", config.toString());
    builder.environment().put("PROXY_OPS", "127.0.0.1:" + ops);
    builder.environment().put("TMPDIR", directory.toString());
    Process process = builder.redirectOutput(directory.resolve("log-" + processes.size()).toFile()).start();
    processes.add(process);
    return process;
  }

  private static String call(int ops, String what) {
    try (Client caller = new Client(ops)) {
      return caller.request(what + " HTTP/1.1\r\nHost: ops\r\n\r\n").split(" ")[1];
    } catch (IOException | RuntimeException e) {
      return "none"; // the process does not listen yet
    }
  }

  private Process startAndAwaitReady(int ops) throws Exception {
    Process process = startProcess(ops);
    while (!call(ops, "GET /_ready").equals("200")) {
      assertTrue(process.isAlive(), "the process ended before it was ready");
      Thread.onSpinWait();
    }
    return process;
  }

  /** Starts clients that send each request on a new connection, as fast as answers come, until the end. */
  private List<Thread> load(int clients) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < clients; i++) {
      Thread thread = new Thread(() -> {
        while (!stopped) {
          String id = "O" + lastId.incrementAndGet();
          try (Client client = new Client(port)) {
            String answer = client.request("mg " + Integer.toHexString(id.hashCode()) + " v " + id
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
  void anUpgradeLosesFewRequestsAndRunsNoneTwiceAndKeepsBans() throws Exception {
    int first = freePort();
    int second = freePort();
    Process old = startAndAwaitReady(first);
    List<Thread> threads = load(3);
    awaitAnswers(50);
    assertEquals("200", call(first, "POST /_cache-nodes/detach/a"));
    Process successor = startAndAwaitReady(second);
    caches.get(0).lines.clear();
    old.destroy(); // SIGTERM
    assertTrue(old.waitFor(10, TimeUnit.SECONDS));
    assertEquals(0, old.exitValue());
    awaitAnswers(50);
    stop(threads);
    assertTrue(successor.isAlive());
    assertTrue(lost.get() <= MAX_LOST, "lost requests: " + lost);
    assertEquals(List.of(), runs.entrySet().stream().filter(e -> e.getValue() > 1).toList(), "run twice");
    assertEquals(List.of(), caches.get(0).lines.stream().filter(l -> l.startsWith("mg")).toList(),
        "requests sent to the banned node");
    assertEquals("200", call(second, "POST /_cache-nodes/attach/a"));
  }

  /** A new process that is killed, before or after it is ready, leaves the old one serving. */
  @Test
  void aNewProcessThatIsKilledLeavesTheOldOneServing() throws Exception {
    Process old = startAndAwaitReady(freePort());
    for (int i = 0; i < 2; i++) {
      Process successor = i == 0 ? startProcess(freePort()) : startAndAwaitReady(freePort());
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

  /** An old process that is killed loses its open requests; the new one serves all that follow. */
  @Test
  void anOldProcessThatIsKilledLeavesTheNewOneServing() throws Exception {
    Process old = startAndAwaitReady(freePort());
    startAndAwaitReady(freePort());
    old.destroyForcibly().waitFor();
    List<Thread> threads = load(2);
    awaitAnswers(50);
    stop(threads);
    assertEquals(0, lost.get());
  }

  private static Client requestLongValue(int port, String id) throws IOException {
    Client client = new Client(port);
    assertEquals("VA " + LONG_VALUE_BYTES + " " + id,
        client.request("mg 7f3a v " + id + " Pc=read,t=acme,d=900\r\n"));
    assertEquals(LONG_VALUE_BYTES / 2, client.bytes(LONG_VALUE_BYTES / 2).length());
    return client;
  }

  /** Guards against a value that is truncated when its process ends: after a SIGTERM it is completed. */
  @Test
  void aLongValueInTransitIsCompletedAfterASigtermAndRecognisablyTruncatedByAKill() throws Exception {
    int first = freePort();
    Process old = startAndAwaitReady(first);
    try (Client completed = requestLongValue(port, LONG_ID + "1")) {
      Process successor = startAndAwaitReady(freePort());
      old.destroy();
      while (call(first, "GET /_ready").equals("200")) {
        Thread.onSpinWait();
      }
      caches.forEach(cache -> cache.ends.add(true));
      assertEquals(LONG_VALUE_BYTES / 2 + 2, completed.bytes(LONG_VALUE_BYTES / 2 + 2).length());
      assertTrue(old.waitFor(10, TimeUnit.SECONDS));
      assertEquals(0, old.exitValue());
      caches.forEach(cache -> cache.ends.clear());
      try (Client truncated = requestLongValue(port, LONG_ID + "2")) {
        Process third = startAndAwaitReady(freePort());
        successor.destroyForcibly().waitFor();
        int rest = 0;
        try {
          rest = truncated.bytes(LONG_VALUE_BYTES / 2 + 2).length();
        } catch (IOException e) {
          // a reset shows the truncation too
        }
        assertTrue(rest < LONG_VALUE_BYTES / 2 + 2, "the client can recognise the truncation");
        assertTrue(third.isAlive());
      }
    }
    List<Thread> threads = load(1);
    awaitAnswers(20);
    stop(threads);
    assertEquals(0, lost.get());
  }

  /**
   * Guards against a ban that is lost, or a file that is left half written, when the process that stores it
   * is killed: each process is killed while calls arrive, and the next knows the bans that it had answered.
   */
  @Test
  void answeredBansSurviveAProcessThatIsKilledWhileItStores() throws Exception {
    discovery.close();
    StringBuilder spare = new StringBuilder();
    for (int i = 0; i < SPARE_NODES; i++) {
      spare.append(',').append(ProxyFixture.host("spare-" + i, Stub.nobody(), "m2"));
    }
    configure(spare.toString());
    int bans = 0;
    for (int round = 1; round <= 3; round++) {
      int ops = freePort();
      Process process = startAndAwaitReady(ops);
      int from = bans;
      AtomicInteger done = new AtomicInteger(from);
      Thread caller = new Thread(() -> {
        while (done.get() < SPARE_NODES
            && call(ops, "POST /_cache-nodes/detach/spare-" + done).equals("200")) {
          done.incrementAndGet();
        }
      });
      caller.start();
      while (done.get() < from + 10 * round) {
        Thread.onSpinWait();
      }
      process.destroyForcibly().waitFor();
      caller.join();
      bans = done.get();
      Set<String> stored = storedBans();
      for (int i = 0; i < bans; i++) {
        assertTrue(stored.contains("spare-" + i), "answered but lost: " + i + " of " + bans);
      }
      assertTrue(stored.size() <= bans + 1, "stored but never called for: " + stored);
      bans = stored.size();
    }
  }

  private Set<String> storedBans() throws IOException {
    try (var files = Files.list(directory)) {
      Path path = files.filter(file -> file.toString().endsWith(".bans.json")).findFirst().orElseThrow();
      return new BanFile(path, "n0").refresh().stream().filter(Ban::isActive).map(Ban::node)
          .collect(Collectors.toSet());
    }
  }

  /** The peak memory of both processes of an upgrade, with what they share, is within the limit of one. */
  @Test
  void bothProcessesOfAnUpgradeFitTheMemoryOfOne() throws Exception {
    Process old = startAndAwaitReady(freePort());
    List<Thread> threads = load(3);
    awaitAnswers(300);
    Process successor = startAndAwaitReady(freePort());
    awaitAnswers(300);
    double both = peakMb(old) + peakMb(successor);
    stop(threads);
    assertTrue(both > 20 && both < MAX_MEMORY_MB, "MB of both: " + both);
  }

  private static double peakMb(Process process) throws IOException {
    return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
        .filter(line -> line.startsWith("VmHWM")).findFirst()
        .map(line -> Double.parseDouble(line.split("\\s+")[1]) / 1024).orElseThrow();
  }
}
