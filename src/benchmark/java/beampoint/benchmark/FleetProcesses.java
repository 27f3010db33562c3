package beampoint.benchmark;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Measures real {@code serve} processes on loopback, with and without membership: CPU time, memory and
 * control traffic of each, from /proc and the counters of the proxies. Arguments: fleet sizes such as
 * {@code 5,20,60,120}, the length of the measured window in seconds, and {@code fleet} or {@code alone}.
 */
public final class FleetProcesses {

  private static final int CACHES = 14;
  private static final int ZONES = 2;
  private static final int SOCKETS = 256;
  private static final int SEED_PEERS = 5;
  private static final int REQUESTS_A_SECOND = 2; // per proxy
  private static final int STARTS_AT_ONCE = 10;
  private static final long MAX_START_MS = 60_000;
  private static final String SHARED_AMONG = "the load is shared among ";
  private static final long SETTLE_MS = 15_000; // for membership and JIT compilation to settle

  private final List<ServeProcess> proxies = new ArrayList<>();
  private final int size;
  private final boolean fleet;
  private final Path directory;
  private final ScriptedPeers peers;

  /** The resource usage and the counters of a proxy at a time in seconds. */
  private record Sample(double at, ProcessAccount account, Map<String, Long> stats) {}

  /** What a proxy used per second in the measured window, and its resources at the end. */
  private record Usage(double cpuMs, double sentBytes, double receivedBytes, double messages,
      ProcessAccount held) {}

  private FleetProcesses(int size, boolean fleet) throws IOException {
    this.size = size;
    this.fleet = fleet;
    this.directory = Files.createTempDirectory("fleet-processes");
    this.peers = new ScriptedPeers(CACHES, ZONES, 100);
  }

  public static void main(String[] args) throws Exception {
    List<LinearFit.Point> cpu = new ArrayList<>();
    List<LinearFit.Point> sent = new ArrayList<>();
    List<LinearFit.Point> memory = new ArrayList<>();
    for (String size : args[0].split(",")) {
      FleetProcesses processes = new FleetProcesses(Integer.parseInt(size), args[2].equals("fleet"));
      List<Usage> usages = processes.run(Long.parseLong(args[1]) * 1_000);
      cpu.add(new LinearFit.Point(processes.size, mean(usages, Usage::cpuMs)));
      sent.add(new LinearFit.Point(processes.size, mean(usages, Usage::sentBytes)));
      memory.add(new LinearFit.Point(processes.size, mean(usages, each -> each.held.residentKb())));
    }
    if (cpu.size() > 1) {
      System.out.println(LinearFit.of(cpu).text("processor ms a second", "ms"));
      System.out.println(LinearFit.of(sent).text("bytes sent a second", "bytes"));
      System.out.println(LinearFit.of(memory).text("resident KB", "KB"));
    }
    System.exit(0);
  }

  private static double mean(List<Usage> usages, ToDoubleFunction<Usage> value) {
    return usages.stream().mapToDouble(value).average().orElseThrow();
  }

  private static double max(List<Usage> usages, ToDoubleFunction<Usage> value) {
    return usages.stream().mapToDouble(value).max().orElseThrow();
  }

  private List<Usage> run(long windowMs) throws Exception {
    try {
      startAll();
      Thread load = new Thread(this::load, "load");
      load.setDaemon(true);
      load.start();
      Thread.sleep(SETTLE_MS);
      List<Sample> before = samples();
      Thread.sleep(windowMs);
      List<Sample> after = samples();
      load.interrupt();
      List<Usage> usages = new ArrayList<>();
      for (int i = 0; i < proxies.size(); i++) {
        usages.add(usage(before.get(i), after.get(i)));
      }
      print(usages);
      return usages;
    } finally {
      endAll();
      peers.close();
      removeFiles();
    }
  }

  private void startAll() throws Exception {
    List<Integer> ports = new ArrayList<>();
    while (ports.size() < size) {
      int port = ServeProcess.freePort();
      if (!ports.contains(port)) {
        ports.add(port);
      }
    }
    for (int i = 0; i < size; i++) {
      JsonObject config = ServeConfig.of(peers.list(CACHES, ZONES), peers.discoveryAddress(), 1, ZONES,
          SOCKETS, 0);
      if (fleet) {
        config.add("fleet", fleetOf(i, ports));
      }
      proxies.add(ServeProcess.start(directory, name(i), config));
      if (proxies.size() % STARTS_AT_ONCE == 0) {
        proxies.get(i).awaitReady(MAX_START_MS);
      }
    }
    for (ServeProcess proxy : proxies) {
      proxy.awaitReady(MAX_START_MS);
    }
  }

  private static String name(int number) {
    return String.format(Locale.ROOT, "n%04d", number);
  }

  private static JsonObject fleetOf(int number, List<Integer> ports) {
    JsonArray known = new JsonArray();
    for (int i = 1; i <= Math.min(SEED_PEERS, ports.size() - 1); i++) {
      int other = (number + i) % ports.size();
      JsonObject peer = new JsonObject();
      peer.addProperty("name", name(other));
      peer.addProperty("address", ServeProcess.HOST + ":" + ports.get(other));
      known.add(peer);
    }
    JsonObject settings = new JsonObject();
    settings.addProperty("cluster", "measured");
    settings.addProperty("listen", ServeProcess.HOST + ":" + ports.get(number));
    settings.add("peers", known);
    return settings;
  }

  /** Sends each proxy a few requests per second. */
  private void load() {
    List<Socket> clients = new ArrayList<>();
    try {
      for (ServeProcess proxy : proxies) {
        clients.add(proxy.connect());
      }
      for (long id = 1; !Thread.currentThread().isInterrupted(); id++) {
        Socket client = clients.get((int) (id % size));
        InputStream in = new BufferedInputStream(client.getInputStream());
        String command = "mg " + Long.toHexString(id) + " v O" + id + " Pc=read,t=acme,d=900\r\n";
        client.getOutputStream().write(command.getBytes(StandardCharsets.ISO_8859_1));
        if (ServeProcess.line(in).startsWith("VA")) {
          ServeProcess.line(in);
        }
        Thread.sleep(1_000 / REQUESTS_A_SECOND / size);
      }
    } catch (IOException | InterruptedException e) {
      // the measurement has ended
    }
  }

  private List<Sample> samples() throws IOException {
    List<Sample> samples = new ArrayList<>();
    for (ServeProcess proxy : proxies) {
      ProcessAccount account = ProcessAccount.of(proxy.pid());
      samples.add(new Sample(System.nanoTime() / 1e9, account, proxy.stats()));
    }
    return samples;
  }

  private static Usage usage(Sample before, Sample after) {
    double seconds = after.at - before.at;
    return new Usage((after.account.cpuMs() - before.account.cpuMs()) / seconds,
        rate("member_bytes_sent", before, after), rate("member_bytes_received", before, after),
        rate("member_messages_sent", before, after), after.account);
  }

  private static double rate(String counter, Sample before, Sample after) {
    return (after.stats.get(counter) - before.stats.get(counter)) / (after.at - before.at);
  }

  private void print(List<Usage> usages) throws IOException {
    System.out.printf(Locale.ROOT, "%d processes, %s: processor %.2f ms a second (most %.2f), resident"
        + " %.1f MB (most %.1f), shared pages divided %.1f MB, %.0f descriptors, %.0f threads%n", size,
        fleet ? "members" : "alone", mean(usages, Usage::cpuMs), max(usages, Usage::cpuMs),
        mean(usages, each -> each.held.residentKb() / 1024.0),
        max(usages, each -> each.held.residentKb() / 1024.0),
        mean(usages, each -> each.held.proportionalKb() / 1024.0),
        mean(usages, each -> each.held.descriptors()), mean(usages, each -> each.held.threads()));
    System.out.printf(Locale.ROOT, "  sent %.0f bytes a second (most %.0f) in %.1f messages, received %.0f;"
        + " the whole fleet is known to %d; the first was told of %d suspicions since its start; machine load"
        + " %s%n", mean(usages, Usage::sentBytes),
        max(usages, Usage::sentBytes), mean(usages, Usage::messages), mean(usages, Usage::receivedBytes),
        fleet ? countCompleteViews() : 0, suspicions(), ProcessAccount.machineLoad());
  }

  private long suspicions() throws IOException {
    try (Stream<String> lines = Files.lines(directory.resolve(name(0) + ".log"))) {
      return lines.filter(line -> line.contains(" is SUSPECT")).count();
    }
  }

  /** The number of proxies whose last log line on it shares the load among the whole fleet. */
  private long countCompleteViews() throws IOException {
    long complete = 0;
    for (int i = 0; i < size; i++) {
      String last = Files.readAllLines(directory.resolve(name(i) + ".log")).stream()
          .filter(line -> line.contains(SHARED_AMONG)).reduce("", (before, after) -> after);
      complete += last.contains(SHARED_AMONG + size + " proxies") ? 1 : 0;
    }
    return complete;
  }

  private void endAll() {
    proxies.forEach(ServeProcess::close);
  }

  private void removeFiles() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(directory);
  }
}
