package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.Event;
import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against a start that is given up as the decision thread does not get on for 10 s. */
@Timeout(60)
class StalledStartTest {

  private static final long HELD_UP_MS = 11_000;

  /** Takes long over its first event. */
  private static final class SlowModule implements Balancer {
    private boolean asked;

    @Override
    public List<Action> handle(double now, Event event) {
      if (!asked) {
        asked = true;
        ProxyFixture.sleep(HELD_UP_MS);
      }
      return List.of();
    }
  }

  @Test
  void aStartThatIsHeldUpIsNotGivenUp() throws Exception {
    List<String> hosts = List.of(ProxyFixture.host("cache", Stub.nobody(), "m2"));
    Proxy proxy = new Proxy(ProxyFixture.config(hosts, 1024, Stub.nobody()), told -> new SlowModule());
    try {
      proxy.start();
      try (Client client = new Client(proxy.port())) {
        assertEquals("MN", client.request("mn\r\n"));
      }
    } finally {
      proxy.stop();
    }
  }
}
