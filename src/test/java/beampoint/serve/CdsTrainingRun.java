package beampoint.serve;

import beampoint.Stub;
import beampoint.cli.Main;
import beampoint.serve.ProxyFixture.Client;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Runs the program once among scripted peers, so that the build can list the classes that it uses and archive
 * them (class data sharing, CDS). A restarted proxy has only a part of a core, and loading the classes from
 * the jar took half of its start.
 */
public final class CdsTrainingRun {

  private static final int REQUESTS = 200;

  private CdsTrainingRun() {}

  public static void main(String[] args) throws Exception {
    Stub cache = new Stub(peer -> {
      int count = 0;
      for (String line = peer.line(); line != null; line = peer.line()) {
        String id = line.startsWith("mg") ? line.split(" ")[3] : "";
        peer.say(id.isEmpty() ? "MN\r\n" : switch (count++ % 100) {
          case 0, 1 -> "EN " + id + " h0\r\n";
          case 2 -> "SERVER_ERROR busy\r\n";
          case 3 -> "nonsense\r\n";
          default -> "VA 5 " + id + " h1\r\nvalue\r\n";
        });
      }
    });
    Stub origin = new Stub(peer -> {
      for (String head = peer.head(); head != null; head = peer.head()) {
        peer.bytes(head.startsWith("PUT") ? 5 : 0);
        peer.say("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nvalue");
      }
    });
    String hosts = String.join(",", ProxyFixture.host("cache", cache.address(), "m2"),
        ProxyFixture.host("gone", Stub.nobody(), "m2"),
        ProxyFixture.host("origin", origin.address(), "origin"));
    String list = "{\"seq\":2,\"whole\":true,\"hosts\":[" + hosts + "]}\n";
    Stub.Script watchScript = peer -> {
      peer.head();
      peer.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
      peer.beSilent();
    };
    Path directory = Files.createTempDirectory("cds-training");
    int port = freePort();
    int ops = freePort();
    Path config = configure(directory, port, ops, new Stub(watchScript), hosts);
    Main.main(new String[] {"serve", "--config", config.toString()});
    try (Client client = new Client(port); Client leaving = new Client(port)) {
      for (int i = 0; i < REQUESTS; i++) {
        client.send(i % 10 == 0 ? "ms " + i + " 5 O" + i + " Pc=put,t=acme,d=900,k=" + i + "\r\nvalue\r\n"
            : "mg " + i + " v O" + i + " Pc=read,t=acme,d=900\r\n");
        if (client.line().startsWith("VA")) {
          client.line();
        }
      }
      leaving.send("mg 1 v Oleaving Pc=read,t=acme,d=900\r\n");
      for (String command : List.of("mn", "version", "mg", "hello", "mg 1 v O1 Pc=none,d=1")) {
        client.request(command + "\r\n");
      }
      for (String call : List.of("GET /_ready", "POST /_cache-nodes/detach/gone",
          "POST /_cache-nodes/attach/gone")) {
        try (Client caller = new Client(ops)) {
          caller.request(call + " HTTP/1.1\r\nHost: ops\r\n\r\n");
        }
      }
      configure(directory, port, ops, new Stub(watchScript), hosts);
      String pid = Long.toString(ProcessHandle.current().pid());
      new ProcessBuilder("kill", "-HUP", pid).start().waitFor();
      client.send("stats\r\n");
      while (!client.line().equals("END")) {
        // skips the counters
      }
    }
    try (Stream<Path> files = Files.list(Path.of(System.getenv().getOrDefault("TMPDIR", "/tmp")))) {
      String prefix = "beampoint-n0-" + port;
      for (Path file : files.filter(f -> f.getFileName().toString().startsWith(prefix)).toList()) {
        Files.delete(file);
      }
    }
    System.exit(0); // ends the program as a SIGTERM does
  }

  private static int freePort() throws Exception {
    try (ServerSocket free = new ServerSocket()) {
      free.bind(new InetSocketAddress("127.0.0.1", 0));
      return free.getLocalPort();
    }
  }

  private static Path configure(Path directory, int port, int ops, Stub discovery, String hosts)
      throws Exception {
    String text = "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"ops\":\"127.0.0.1:" + ops
        + "\",\"seed\":\"1\",\"discovery\":\""
        + discovery.address() + "\",\"limits\":{\"sockets\":384},\"known\":{\"seq\":1,\"whole\":true,"
        + "\"hosts\":[" + hosts + "]},\"settings\":" + ProxyFixture.SETTINGS + "}";
    return Files.writeString(directory.resolve("config.json"), text);
  }
}
