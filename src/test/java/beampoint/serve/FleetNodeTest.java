package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.SettingsChanged;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.fleet.message.Status;
import beampoint.settings.Address;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Proxies that are members of one fleet, on sockets. */
@Timeout(60)
class FleetNodeTest {

  private final Stub discovery = new Stub(Stub.Peer::beSilent);
  private final List<Proxy> fleet = new ArrayList<>();
  private final List<ProxyFixture.ScriptedModule> modules = new ArrayList<>();

  FleetNodeTest() throws Exception {}

  /** Starts a proxy that has the address of the first one configured as that of a peer. */
  private Proxy start(int number) throws Exception {
    return start(number, "127.0.0.1:0", null);
  }

  /** Starts a proxy that a second process at the same address can replace if it has a directory. */
  private Proxy start(int number, String listen, Path directory) throws Exception {
    String peers = number == 0 ? "" : "{\"name\":\"n0\",\"address\":\"" + address(fleet.get(0)) + "\"}";
    JsonObject json = JsonParser.parseString("""
        {"name":"n%d","listen":"127.0.0.1:0","discovery":"%s","seed":"%d","known":{"seq":1,"whole":true,
         "hosts":[]},"settings":%s,"fleet":{"cluster":"test","listen":"%s","peers":[%s]}%s}"""
        .formatted(number, discovery.address(), number + 1, ProxyFixture.SETTINGS, listen, peers,
            directory == null ? "" : ",\"ops\":\"127.0.0.1:0\""))
        .getAsJsonObject();
    ProxyFixture.ScriptedModule module = new ProxyFixture.ScriptedModule();
    Config config = Config.read("test", json);
    Proxy proxy = directory == null ? new Proxy(config, settings -> module)
        : new Proxy(config, settings -> module, directory);
    modules.add(module);
    proxy.start();
    return proxy;
  }

  private static String address(Proxy proxy) throws Exception {
    while (proxy.members().isEmpty()) {
      Thread.onSpinWait();
    }
    return proxy.members().get(0).address();
  }

  private static Map<String, Status> view(Proxy proxy) throws Exception {
    Map<String, Status> view = new TreeMap<>();
    proxy.members().forEach(member -> view.put(member.member(), member.status()));
    return view;
  }

  /** Waits until all these proxies have the expected view of the members. */
  private void await(List<Proxy> proxies, Map<String, Status> expected) throws Exception {
    for (Proxy proxy : proxies) {
      while (!view(proxy).equals(expected)) {
        Thread.onSpinWait();
      }
    }
  }

  @AfterEach
  void stop() throws Exception {
    for (Proxy proxy : fleet) {
      proxy.stop();
    }
    discovery.close();
  }

  @Test
  void membersFindEachOtherAndDetectACrashARestartAndALeave() throws Exception {
    Map<String, Status> all = new TreeMap<>();
    for (int i = 0; i < 5; i++) {
      fleet.add(start(i));
      all.put("n" + i, Status.ALIVE);
    }
    await(fleet, all);
    for (ProxyFixture.ScriptedModule module : modules) {
      while (module.next(SettingsChanged.class).settings().siblings() != 5) {
        // two are configured; the number grows as members join
      }
    }
    fleet.get(2).stop();
    List<Proxy> others = new ArrayList<>(fleet);
    others.remove(2);
    all.put("n2", Status.DEAD);
    await(others, all);
    assertEquals(1, fleet.get(0).counters().get(Counter.MEMBERS_DIED));
    Proxy restarted = start(2); // with its name, at another address, without any stored state
    fleet.set(2, restarted);
    others.add(restarted);
    all.put("n2", Status.ALIVE);
    await(others, all);
    fleet.get(3).shutDownGracefully();
    others.remove(fleet.get(3));
    all.put("n3", Status.LEFT);
    await(others.subList(0, 3), all);
  }

  /** Guards against two processes of one proxy that count as two members, or displace each other. */
  @Test
  void twoProcessesOfOneProxyAreOneMember(@TempDir Path directory) throws Exception {
    fleet.add(start(0));
    Map<String, Status> both = new TreeMap<>(Map.of("n0", Status.ALIVE, "n1", Status.ALIVE));
    Proxy first = start(1, "127.0.0.1:0", directory);
    await(fleet, both);
    String listen = address(first);
    Proxy second = start(1, listen, directory);
    while (first.processes() < 2 || second.processes() < 2) {
      Thread.onSpinWait();
    }
    assertEquals(List.of(), second.members(), "it does not join while the first process runs");
    assertEquals(both, view(fleet.get(0)));
    first.shutDownGracefully();
    both.put("n1", Status.LEFT);
    await(fleet, both);
    first.stop();
    fleet.add(second);
    both.put("n1", Status.ALIVE);
    await(fleet, both);
    assertEquals(listen, address(second));
    assertEquals(0, fleet.get(0).counters().get(Counter.MEMBERS_DIED));
  }

  /** Guards against senders that are no members: only they are affected, and members keep their status. */
  @Test
  void invalidMessagesAreDroppedAndCountedOverUdpAndTcp() throws Exception {
    fleet.add(start(0));
    fleet.add(start(1));
    Map<String, Status> both = Map.of("n0", Status.ALIVE, "n1", Status.ALIVE);
    await(fleet, both);
    InetSocketAddress address = Address.parse(address(fleet.get(0)));
    Random random = new Random(3);
    try (DatagramSocket hostile = new DatagramSocket()) {
      for (int i = 0; i < 200; i++) {
        byte[] bytes = new byte[random.nextInt(2_000)];
        random.nextBytes(bytes);
        hostile.send(new DatagramPacket(bytes, bytes.length, address));
      }
    }
    byte[][] views = {{0, 0, 0, 3, 1, 2, 3}, {-1, 0, 0, 0}, {0x7f, 0, 0, 0, 1}};
    for (byte[] view : views) {
      try (Socket hostile = new Socket(address.getAddress(), address.getPort())) {
        hostile.getOutputStream().write(view);
        assertEquals(-1, hostile.getInputStream().read(), "the connection is closed");
      }
    }
    while (fleet.get(0).counters().get(Counter.MEMBER_MESSAGES_DROPPED) < 20) {
      Thread.onSpinWait(); // some datagrams may be lost
    }
    await(fleet, both);
    assertEquals(0, fleet.get(0).counters().get(Counter.MEMBERS_DIED));
  }

  @Test
  void withoutAFleetThereIsNoThreadForIt() throws Exception {
    Set<Thread> before = memberThreads(); // those of an earlier test may still be ending
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody())) {
      assertTrue(proxy.port > 0);
      assertTrue(before.containsAll(memberThreads()));
    }
  }

  private static Set<Thread> memberThreads() {
    return Thread.getAllStackTraces().keySet().stream().filter(t -> t.getName().equals("members"))
        .collect(Collectors.toSet());
  }
}
