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

/** Guards against a start that fails as the decision thread makes no progress for 10 s. */
@Timeout(60)
class StalledStartTest {

  private static final long STALL_MS = 11_000;

  /** Takes long to handle its first event. */
  private static final class SlowModule implements Balancer {
    private boolean hasStalled;

    @Override
    public List<Action> handle(double now, Event event) {
      if (!hasStalled) {
        hasStalled = true;
        ProxyFixture.sleep(STALL_MS);
      }
      return List.of();
    }
  }

  @Test
  void aStalledStartDoesNotFail() throws Exception {
    List<String> hosts = List.of(ProxyFixture.host("cache", Stub.nobody(), "m2"));
    Proxy proxy = new Proxy(ProxyFixture.config(hosts, 1024, Stub.nobody()), ignored -> new SlowModule());
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
