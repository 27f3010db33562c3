package beampoint.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.discovery.HostList.Health;
import beampoint.discovery.HostList.Host;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** A host whose address another one has taken counts as gone. */
class AddressOwnersTest {

  private final AddressOwners owners = new AddressOwners();

  private static Host host(String name, int port, double bornMs) {
    return host(name, port, bornMs, Health.READY);
  }

  private static Host host(String name, int port, double bornMs, Health health) {
    return new Host(name, new InetSocketAddress("127.0.0.1", port), "a", "m2", 0, health, 1, bornMs);
  }

  private String full(Host... hosts) {
    return resolve(true, hosts);
  }

  private String changes(Host... hosts) {
    return resolve(false, hosts);
  }

  private String resolve(boolean whole, Host... hosts) {
    return owners.resolve(new HostList(1, whole, List.of(hosts))).stream()
        .map(host -> host.host() + " " + host.health()).collect(Collectors.joining(", "));
  }

  @Test
  void aNewHostAtTheAddressOfAnotherReplacesIt() {
    assertEquals("old READY, b READY", full(host("old", 1, 0), host("b", 2, 0)));
    assertEquals("new READY, old GONE", changes(host("new", 1, 500)));
    assertEquals("old GONE", changes(host("old", 1, 0)), "its weight has changed, it has not started anew");
    assertEquals("b READY, old GONE, new READY",
        full(host("b", 2, 0), host("old", 1, 0), host("new", 1, 500)));
    assertEquals("old GONE", changes(host("old", 1, 0, Health.GONE)));
    assertEquals("new READY", changes(host("new", 1, 500)));
  }

  @Test
  void theYoungestOfOneListHasTheAddressAndThoseOfTheSameAgeShareIt() {
    assertEquals("new READY, old GONE", full(host("new", 1, 500), host("old", 1, 0)));
    assertEquals("a READY, b READY", full(host("a", 3, 0), host("b", 3, 0)));
    assertEquals("older GONE, younger READY", full(host("older", 4, 500), host("younger", 4, 700)));
    assertEquals("next READY, younger GONE", changes(host("next", 4, 600)), "a clock may be wrong");
  }

  @Test
  void aHostThatStartsAnewHasItsAddressAgain() {
    full(host("old", 1, 0));
    changes(host("new", 1, 500));
    assertEquals("old READY, new GONE", changes(host("old", 1, 900)));
    assertEquals("new READY", changes(host("new", 2, 500)), "at another address");
    assertEquals("old READY", changes(host("old", 1, 900)));
  }

  @Test
  void aHostThatHasLeftTheListHasNoAddress() {
    full(host("old", 1, 0));
    assertEquals("b READY", full(host("b", 2, 0)));
    assertEquals("old READY", changes(host("old", 1, 0)));
    assertEquals("old TERMINATING", changes(host("old", 1, 0, Health.TERMINATING)));
    assertEquals("b READY", changes(host("b", 1, 0)), "started long ago: no successor");
    assertEquals("new READY, old GONE, b GONE", changes(host("new", 1, 600)));
  }
}
