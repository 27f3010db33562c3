package beampoint.serve;

import static beampoint.serve.ProxyFixture.READ;
import static beampoint.serve.ProxyFixture.reads;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestReceived;
import beampoint.Stub;
import beampoint.count.Counter;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that send more than one read of the socket takes. */
@Timeout(30)
class ReadAheadTest {

  private static final int CLIENTS = 40;
  private static final int VALUE_BYTES = 4 * 1024 * 1024;
  private static final int MAX_READ_AHEAD_BYTES = 4 * 1024 * 1024; // on all connections together
  private static final int READ_BYTES = 32 * 1024; // the most that one read takes
  private static final int UPLOADING_CLIENTS = 40;
  private static final int UPLOADED_BYTES = 400_000; // of each; together more than is read ahead
  private static final int LINE_BYTES = 2048; // so that a read buffer of them is handled in one pass
  private static final int LEAVING_CLIENTS = 3;
  private static final int COMMANDS = 2000; // of each client
  private static final int MAX_QUEUED_COMMANDS = 1000; // on all connections together
  private static final String FIRST = READ.replace("O9b", "Ofirst");

  private final AtomicInteger answered = new AtomicInteger();

  /** Guards against attempts for a client that has left, if its close is behind many requests. */
  @Test
  void aCloseBehindManyRequestsIsSeenBeforeAnyIsStarted() throws Exception {
    CountDownLatch seen = new CountDownLatch(1);
    CountDownLatch clientLeft = new CountDownLatch(1);
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client other = new Client(proxy)) {
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e) {
          seen.countDown();
          ProxyFixture.await(clientLeft);
          return List.of(new Refuse(e.id(), 0));
        }
        return List.of();
      };
      other.send(FIRST);
      seen.await();
      try (Client client = new Client(proxy)) {
        client.send(reads(9_000));
      }
      clientLeft.countDown();
      assertEquals("SERVER_ERROR busy", other.line());
      assertEquals("SERVER_ERROR busy", other.request(READ));
      assertEquals(2, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
    }
  }

  /**
   * Guards against attempts for a client that has left, if its close is behind requests that are not read yet
   * because others have sent as much as is read ahead.
   */
  @Test
  void noRequestIsStartedOnAConnectionThatMayHaveEndedBehindUnreadInput() throws Exception {
    CountDownLatch seen = new CountDownLatch(1);
    CountDownLatch clientsLeft = new CountDownLatch(1);
    List<Client> uploading = new ArrayList<>();
    List<Client> leaving = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client other = new Client(proxy)) {
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e) {
          seen.countDown();
          ProxyFixture.await(clientsLeft);
          return List.of(new Refuse(e.id(), 0));
        }
        return List.of();
      };
      for (int i = 0; i < UPLOADING_CLIENTS + LEAVING_CLIENTS; i++) {
        (i < UPLOADING_CLIENTS ? uploading : leaving).add(new Client(proxy));
      }
      proxy.awaitClients(1 + UPLOADING_CLIENTS + LEAVING_CLIENTS);
      other.send(FIRST);
      seen.await();
      for (Client client : uploading) {
        client.send("ms 7f " + VALUE_BYTES + " Ow Pc=put,t=acme,d=4000\r\n" + "x".repeat(UPLOADED_BYTES));
      }
      for (Client client : leaving) {
        client.send(reads(9_000));
        client.close();
      }
      clientsLeft.countDown();
      assertEquals("SERVER_ERROR busy", other.line());
      assertEquals("SERVER_ERROR busy", other.request(READ));
      proxy.awaitCount(Counter.READ_AHEAD_PEAK_BYTES, MAX_READ_AHEAD_BYTES);
      while (proxy.proxy.connectedClients() > 1 + UPLOADING_CLIENTS) {
        assertEquals("MN", other.request("mn\r\n"));
      }
      assertEquals(2, proxy.proxy.counters().get(Counter.REQUESTS_TAKEN));
    } finally {
      Client.closeAll(uploading);
      Client.closeAll(leaving);
    }
  }

  /** Guards against requests that wait for unread input when exactly what was sent has been read. */
  @Test
  void requestsWaitForUnreadInputOnlyAsLongAsThereMayBeSome() throws Exception {
    CountDownLatch seen = new CountDownLatch(1);
    CountDownLatch sent = new CountDownLatch(1);
    List<Client> uploading = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client other = new Client(proxy); Client client = new Client(proxy)) {
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e) {
          seen.countDown();
          ProxyFixture.await(sent);
          return List.of(new Refuse(e.id(), 0));
        }
        return List.of();
      };
      for (int i = 0; i < UPLOADING_CLIENTS; i++) {
        uploading.add(new Client(proxy));
      }
      proxy.awaitClients(2 + UPLOADING_CLIENTS);
      other.send(FIRST);
      seen.await();
      for (Client upload : uploading) {
        upload.send("ms 7f " + VALUE_BYTES + " Ow Pc=put,t=acme,d=4000\r\n" + "x".repeat(UPLOADED_BYTES));
      }
      client.send(fullReadBuffer());
      sent.countDown();
      for (int i = 0; i < READ_BYTES / LINE_BYTES; i++) {
        assertEquals("SERVER_ERROR busy", client.line());
      }
    } finally {
      Client.closeAll(uploading);
    }
  }

  /** Reads in lines of equal length that fill one read buffer. */
  private static String fullReadBuffer() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; text.length() < READ_BYTES; i++) {
      String line = "mg 7f3a v O" + (100_000 + i) + " Pc=read,t=acme,d=4000,pad=";
      text.append(line).append("x".repeat(LINE_BYTES - line.length() - "\r\n".length())).append("\r\n");
    }
    return text.toString();
  }

  /** Guards against deadlines that count only from the handling of the requests before. */
  @Test
  void theDeadlineOfARequestCountsFromItsArrivalHoweverMuchArrivedBefore() throws Exception {
    int count = 6_000;
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody());
        Client client = new Client(proxy)) {
      proxy.module.script = event -> {
        if (event instanceof RequestReceived e) {
          if (e.id() < 400 && e.id() % 32 == 0) {
            ProxyFixture.sleep(60);
          }
          return List.of(new Refuse(e.id(), 0));
        }
        return List.of();
      };
      String text = reads(count);
      long before = System.nanoTime();
      client.send(text);
      double sendMs = (System.nanoTime() - before) / 1e6;
      double first = proxy.module.next(RequestReceived.class).deadline();
      double last = first;
      for (int i = 1; i < count; i++) {
        assertEquals("SERVER_ERROR busy", client.line());
        last = Math.max(last, proxy.module.next(RequestReceived.class).deadline());
      }
      double apartMs = last - first;
      assertTrue(apartMs < sendMs + 100, "sent within " + sendMs + " ms, deadlines " + apartMs + " ms apart");
    }
  }

  /** Guards against a limit of the bytes read ahead that each connection exceeds further in every pass. */
  @Test
  void whatIsReadAheadOnAllConnectionsStaysWithinItsLimit() throws Exception {
    List<Client> clients = new ArrayList<>();
    List<Thread> senders = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody())) {
      proxy.refuseAll();
      for (int i = 0; i < CLIENTS; i++) {
        Client client = new Client(proxy);
        String write = "ms 7f " + VALUE_BYTES + " Ow" + i + " Pc=put,t=acme,d=4000,k=5c\r\n"
            + "x".repeat(VALUE_BYTES) + "\r\n";
        clients.add(client);
        senders.add(new Thread(() -> sendAndClose(client, write)));
      }
      senders.forEach(Thread::start);
      for (Thread sender : senders) {
        sender.join();
      }
      long peak = proxy.proxy.counters().get(Counter.READ_AHEAD_PEAK_BYTES);
      assertTrue(peak <= MAX_READ_AHEAD_BYTES + CLIENTS * READ_BYTES, "read ahead: " + peak + " bytes");
    } finally {
      Client.closeAll(clients);
    }
  }

  /** Guards against clients that send many commands at once, which fill the heap as all are parsed. */
  @Test
  void commandsThatAreNotHandledYetAreFewHoweverManyAreSentAtOnce() throws Exception {
    List<Client> clients = new ArrayList<>();
    List<Thread> senders = new ArrayList<>();
    try (ProxyFixture proxy = new ProxyFixture(Stub.nobody(), Stub.nobody())) {
      proxy.refuseAll();
      for (int i = 0; i < CLIENTS; i++) {
        String commands = reads(COMMANDS).replace(" v O", " v O" + i + "x");
        Client client = new Client(proxy);
        clients.add(client);
        senders.add(new Thread(() -> sendAndRead(client, commands, COMMANDS)));
      }
      senders.forEach(Thread::start);
      for (Thread sender : senders) {
        sender.join();
      }
      assertEquals((long) CLIENTS * COMMANDS, answered.get());
      long peak = proxy.proxy.counters().get(Counter.COMMANDS_QUEUED_PEAK);
      assertTrue(peak <= MAX_QUEUED_COMMANDS + READ_BYTES / READ.length(), "queued: " + peak);
    } finally {
      Client.closeAll(clients);
    }
  }

  private void sendAndRead(Client client, String text, int answers) {
    try {
      client.send(text);
      for (int i = 0; i < answers && client.line().startsWith("SERVER_ERROR busy"); i++) {
        answered.incrementAndGet();
      }
    } catch (IOException e) {
      // its answers are missing in the count
    }
  }

  private static void sendAndClose(Client client, String text) {
    try (client) {
      client.send(text);
      client.line();
    } catch (IOException e) {
      // the proxy may close the connection of a client
    }
  }
}
