package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A request that must reach its server by a certain time does not reach it later, however slowly the server
 * reads. Guards against a write that is executed twice because its repeat, begun within the dedup window, is
 * read whole after it.
 */
@Timeout(30)
class RepeatWindowTest {

  private static final int WINDOW_MS = 400;
  /** More than the buffers of the system hold, so that the proxy still has a part when the window ends. */
  private static final int BEYOND_SYSTEM_BUFFERS = 4 * 1024 * 1024;
  /** More than a peer that does not read takes, and less than the buffers of the system hold. */
  private static final int WITHIN_SYSTEM_BUFFERS = 1024 * 1024;
  private static final Pattern TIME_LEFT = Pattern.compile("[ P,]d=(\\d+)");

  /** A server that reads the head of a write at once, and its value only when the test allows it. */
  private static final class SlowServer implements AutoCloseable {
    private final CountDownLatch mayRead = new CountDownLatch(1);
    private final CountDownLatch ended = new CountDownLatch(1);
    private final AtomicInteger valueBytes = new AtomicInteger();
    private final Stub stub = new Stub(peer -> {
      String line = peer.line();
      if (!line.startsWith("ms ")) {
        peer.head();
      }
      mayRead.await();
      try {
        while (!peer.bytes(1).isEmpty()) {
          valueBytes.incrementAndGet();
        }
      } catch (IOException e) {
        // the proxy has reset the connection
      } finally {
        ended.countDown();
      }
    });

    SlowServer() throws IOException {}

    /** Reads all that comes until the connection ends; returns how many bytes of the value were read. */
    int readToTheEnd() throws InterruptedException {
      mayRead.countDown();
      assertTrue(ended.await(10, TimeUnit.SECONDS), "the proxy has ended the connection");
      return valueBytes.get();
    }

    @Override
    public void close() throws IOException {
      stub.close();
    }
  }

  private static String write(int length) {
    return "ms 7f3a " + length + " O9b Pc=put,t=acme,d=4000,k=5c\r\n" + "x".repeat(length) + "\r\n";
  }

  /** Sends every request to one endpoint, where it has to arrive within the window, and refuses it after. */
  private static void sendWithinWindow(ProxyFixture proxy, String endpoint) {
    proxy.module.script = event -> event instanceof RequestReceived e
        ? List.of(new Send(e.id(), endpoint, 0, System.currentTimeMillis() + WINDOW_MS))
        : event instanceof AttemptEnded e && !e.done() ? List.of(new Refuse(e.id(), 0)) : List.of();
  }

  private static void assertNotReadWholeAfterTheWindow(String endpoint, int length, Result expected)
      throws Exception {
    try (SlowServer server = new SlowServer();
        ProxyFixture proxy = new ProxyFixture(server.stub.address(), server.stub.address());
        Client client = new Client(proxy)) {
      sendWithinWindow(proxy, endpoint);
      long startedAt = System.nanoTime();
      assertEquals("SERVER_ERROR busy", client.request(write(length)));
      long answeredMs = (System.nanoTime() - startedAt) / 1_000_000;
      assertTrue(answeredMs < 2000,
          "answered at the end of the window, not of the client's 4 s: " + answeredMs);
      assertEquals(expected, proxy.nextAttemptEnded().result());
      assertTrue(server.readToTheEnd() < length, "the last byte does not arrive after the window");
    }
  }

  @Test
  void aRepeatThatTheProxyHasNotWrittenWholeEndsWithTheWindow() throws Exception {
    assertNotReadWholeAfterTheWindow("origin", BEYOND_SYSTEM_BUFFERS, Result.NOT_SENT);
    assertNotReadWholeAfterTheWindow("cache", BEYOND_SYSTEM_BUFFERS, Result.NOT_SENT);
  }

  /** It may have been executed as far as the proxy can tell, so it counts as timed out. */
  @Test
  void aRepeatOfWhichTheSystemHoldsAPartEndsWithTheWindow() throws Exception {
    assertNotReadWholeAfterTheWindow("origin", WITHIN_SYSTEM_BUFFERS, Result.TIMEOUT);
    assertNotReadWholeAfterTheWindow("cache", WITHIN_SYSTEM_BUFFERS, Result.TIMEOUT);
  }

  /** What a server has received and not handled is dropped by itself once the time it was told is over. */
  @Test
  void aRepeatTellsItsServerNoMoreTimeThanIsLeftOfTheWindow() throws Exception {
    for (String endpoint : List.of("origin", "cache")) {
      try (SlowServer server = new SlowServer();
          ProxyFixture proxy = new ProxyFixture(server.stub.address(), server.stub.address());
          Client client = new Client(proxy)) {
        sendWithinWindow(proxy, endpoint);
        client.send(ProxyFixture.WRITE);
        Matcher told = TIME_LEFT.matcher(server.stub.nextLine());
        while (!told.find()) {
          told = TIME_LEFT.matcher(server.stub.nextLine());
        }
        int timeLeft = Integer.parseInt(told.group(1));
        assertTrue(timeLeft <= WINDOW_MS, endpoint + " was told " + timeLeft);
      }
    }
  }

  /** A server that answers has received the request whole, so that the window's end does not matter. */
  @Test
  void aReceiptThatHasBegunIsAwaitedBeyondTheWindow() throws Exception {
    for (String endpoint : List.of("origin", "cache")) {
      try (Stub server = new Stub(peer -> {
        boolean isOrigin = !peer.line().startsWith("ms ");
        if (isOrigin) {
          peer.head();
        } else {
          peer.line();
        }
        peer.bytes(isOrigin ? 5 : 0);
        peer.say(isOrigin ? "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nrec" : "HD O9b");
        TimeUnit.MILLISECONDS.sleep(2 * WINDOW_MS);
        peer.say(isOrigin ? "eipt" : " creceipt\r\n");
        peer.beSilent();
      }); ProxyFixture proxy = new ProxyFixture(server.address(), server.address());
          Client client = new Client(proxy)) {
        sendWithinWindow(proxy, endpoint);
        assertEquals("HD O9b creceipt", client.request(ProxyFixture.WRITE), endpoint);
      }
    }
  }

  /** Guards against a server that begins a request long after its client has disconnected. */
  @Test
  void aLongRequestIsNotReadWholeAfterItsClientHasDisconnected() throws Exception {
    for (int length : new int[] {BEYOND_SYSTEM_BUFFERS, WITHIN_SYSTEM_BUFFERS}) {
      try (SlowServer server = new SlowServer();
          ProxyFixture proxy = new ProxyFixture(Stub.nobody(), server.stub.address())) {
        proxy.sendTo("origin");
        try (Client client = new Client(proxy)) {
          client.send(write(length));
          server.stub.nextLine();
        }
        proxy.nextAttemptEnded();
        assertTrue(server.readToTheEnd() < length, "the last byte does not arrive after the disconnect");
      }
    }
  }
}
