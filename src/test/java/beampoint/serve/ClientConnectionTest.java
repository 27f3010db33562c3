package beampoint.serve;

import static beampoint.serve.ProxyFixture.READ;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.net.SocketException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that disconnect, send invalid input, or stop in the middle of a command. */
@Timeout(30)
class ClientConnectionTest {

  @Test
  void theModuleIsInformedOfAClientThatDisconnectsAndThenOfTheAttemptsEnd() throws Exception {
    try (Stub cache = ScriptedCache.answeringOnSignal();
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody())) {
      proxy.sendTo("cache");
      Client client = new Client(proxy);
      client.send(READ);
      cache.nextLine();
      client.close();
      assertEquals(1, proxy.module.next(RequestGone.class).id());
      cache.ends.add(true);
      AttemptEnded ended = proxy.nextAttemptEnded();
      assertEquals(Result.OK, ended.result());
      assertTrue(ended.done());
    }
  }

  @Test
  void invalidInputIsAnsweredAndOverlongInputClosesOnlyItsOwnConnection() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy); Client other = new Client(proxy)) {
      assertEquals("ERROR", client.request("hello\r\n"));
      assertEquals("CLIENT_ERROR unknown class", client.request("mg 1 v O1 Pc=none,d=100\r\n"));
      assertEquals("MN", other.request("mn\r\n"));
      assertTrue(client.request("x".repeat(6000)).startsWith("CLIENT_ERROR"));
      assertNull(client.line());
      assertEquals("MN", other.request("mn\r\n"));
      assertNull(other.request("quit\r\n"));
    }
  }

  /**
   * Guards against a request that the module receives after its client's disconnect was reported: the module
   * would never learn that the request is over.
   */
  @Test
  void aRequestIsNotReportedAfterItsClientsDisconnect() throws Exception {
    try (Stub cache = new Stub(Stub.Peer::beSilent);
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client last = new Client(proxy)) {
      proxy.sendTo("cache");
      for (int i = 0; i < 50; i++) {
        try (Client leaving = new Client(proxy)) {
          leaving.send("mg 1 v O" + i + " Pc=read,t=acme,d=100\r\n");
        }
      }
      last.send(READ.replace("4000", "200"));
      Set<Long> open = new HashSet<>();
      Set<Long> gone = new HashSet<>();
      // Requests whose clients left before they were started are not reported; their number varies.
      boolean lastReceived = false;
      while (!lastReceived || !open.isEmpty()) { // if an attempt never ends, next() fails for lack of events
        Balancer.Event event = proxy.module.next(Balancer.Event.class);
        if (event instanceof RequestReceived e) {
          assertFalse(gone.contains(e.id()), "request " + e.id() + " was received after it was gone");
          open.add(e.id());
          lastReceived |= e.key() == 0x7f3a;
        } else if (event instanceof RequestGone e) {
          gone.add(e.id());
        } else if (event instanceof AttemptEnded e) {
          open.remove(e.id());
        }
      }
      // Events that are still to come if the machine is busy.
      for (Balancer.Event event = proxy.module.events.poll(200, TimeUnit.MILLISECONDS); event != null; event =
          proxy.module.events.poll(200, TimeUnit.MILLISECONDS)) {
        if (event instanceof RequestGone e) {
          gone.add(e.id());
        }
        assertFalse(event instanceof RequestReceived e && gone.contains(e.id()),
            "received after it was gone");
      }
    }
  }

  /** Guards against a client that sends invalid lines at full speed, each of which costs an answer. */
  @Test
  void aClientThatKeepsSendingInvalidCommandsIsDisconnected() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      client.send("nonsense\r\n".repeat(1000));
      int answers = 0;
      try {
        while ("ERROR".equals(client.line())) {
          answers++;
        }
      } catch (SocketException e) {
        // reset, as the proxy has not read all that was sent
      }
      assertTrue(answers <= 8, answers + " answers");
      assertEquals(8, proxy.proxy.counters().get(Counter.BAD_COMMANDS));
    }
  }

  /** Guards against two open requests with the same id, because answers name their request by its id. */
  @Test
  void anIdThatIsInUseIsRejected() throws Exception {
    try (Stub cache = ScriptedCache.answeringOnSignal();
        ProxyFixture proxy = new ProxyFixture(cache.address(), Stub.nobody());
        Client client = new Client(proxy); Client other = new Client(proxy)) {
      proxy.sendTo("cache");
      client.send(READ);
      cache.nextLine();
      assertEquals("CLIENT_ERROR id in use", other.request(READ));
      cache.ends.add(true);
      assertEquals("VA 0 O9b", client.line());
      proxy.nextAttemptEnded();
      proxy.refuseAll();
      assertEquals("SERVER_ERROR busy", other.request(READ));
      assertEquals("CLIENT_ERROR unknown tenant", other.request(READ.replace("acme", "nobody")));
    }
  }

  /** Guards against connections that are held open without a command, or with an incomplete one. */
  @Test
  void aConnectionWithoutACompleteCommandIsClosed() throws Exception {
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client idle = new Client(proxy); Client silent = new Client(proxy); Client half = new Client(proxy);
        Client later = new Client(proxy)) {
      assertEquals("MN", idle.request("mn\r\n"));
      assertEquals("MN", later.request("mn\r\nms 1 5 O1"));
      half.send("mg 7f3a v O9b Pc=re");
      assertNull(silent.line());
      assertNull(half.line());
      assertNull(later.line());
      assertEquals("MN", idle.request("mn\r\n"));
      assertEquals(3, proxy.proxy.counters().get(Counter.CLIENT_CONNECTIONS_CLOSED_STALE));
    }
  }

  /**
   * Guards against closes of connections that cost as much as errors, for each of which the library formats a
   * log message.
   */
  @Test
  void aClientThatDisconnectsCausesNoErrorInTheFilters() throws Exception {
    Logger library = Logger.getLogger("org.glassfish.grizzly");
    List<String> messages = new CopyOnWriteArrayList<>();
    Handler handler = new Handler() {
      @Override
      public void publish(LogRecord logRecord) {
        messages.add(logRecord.getMessage());
      }

      @Override
      public void flush() {
        // nothing is buffered
      }

      @Override
      public void close() {
        // there is nothing to close
      }
    };
    handler.setLevel(Level.ALL);
    library.setLevel(Level.ALL);
    library.addHandler(handler);
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody())) {
      proxy.module.script = event -> List.of();
      try (Client resets = new Client(proxy)) {
        resets.send(READ);
        proxy.module.next(RequestReceived.class);
        resets.socket.setSoLinger(true, 0);
      }
      proxy.module.next(RequestGone.class);
      try (Client client = new Client(proxy)) {
        client.send(READ);
        proxy.module.next(RequestReceived.class);
      }
      proxy.module.next(RequestGone.class);
      assertEquals(List.of(), messages.stream().filter(message -> message.contains("GRIZZLY0013")).toList());
    } finally {
      library.removeHandler(handler);
      library.setLevel(null);
    }
  }
}
