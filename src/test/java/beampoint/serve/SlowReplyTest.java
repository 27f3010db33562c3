package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** A reply that a server has begun is not cut off at the target time of its class, whatever its form. */
@Timeout(60)
class SlowReplyTest {

  private static final int TARGET_MS = 300;
  private static final int DEADLINE_MS = 4000;
  private static final int ANSWER_GRACE_MS = 500;
  private static final int LONG = 200_000; // bytes; over 64 KiB a value is streamed
  private static final int SHORT = 30_000;
  private static final String READ =
      "mg 7f3a v O9b Pc=read,t=acme,d=" + DEADLINE_MS + "\r\n";
  private static final String SETTINGS =
      ProxyFixture.SETTINGS.replaceAll("\"target-ms\":[0-9]+", "\"target-ms\":" + TARGET_MS)
          .replaceAll("\"hard-limit-ms\":[0-9]+", "\"hard-limit-ms\":" + DEADLINE_MS);

  /** The forms of a reply: what comes at once, and what comes once the target time is over. */
  enum Form {
    ORIGIN_LENGTH("HTTP/1.1 200 OK\r\nContent-Length: " + LONG + "\r\n\r\n", value(LONG)),
    ORIGIN_LENGTH_SHORT("HTTP/1.1 200 OK\r\nContent-Length: " + SHORT + "\r\n\r\n", value(SHORT)),
    ORIGIN_PART_OF_HEAD("HTTP/1.1 200 OK\r\nContent-Len", "gth: " + LONG + "\r\n\r\n" + value(LONG)),
    ORIGIN_INTERIM("HTTP/1.1 102 Processing\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: " + LONG + "\r\n\r\n" + value(LONG)),
    ORIGIN_CHUNKED("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
        Integer.toHexString(LONG) + "\r\n" + value(LONG) + "\r\n0\r\n\r\n"),
    ORIGIN_CHUNKED_PART(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(LONG - SHORT) + "\r\n"
            + value(LONG).substring(SHORT) + "\r\n",
        Integer.toHexString(SHORT) + "\r\n" + value(SHORT) + "\r\n0\r\n\r\n"),
    ORIGIN_UNTIL_CLOSE("HTTP/1.1 200 OK\r\n\r\n" + value(SHORT), value(LONG - SHORT)),
    CACHE_HEAD("VA " + LONG + " O9b h1\r\n", value(LONG) + "\r\n"),
    CACHE_PART_OF_HEAD("VA 2", "00000 O9b h1\r\n" + value(LONG) + "\r\n"),
    CACHE_SHORT("VA " + SHORT + " O9b h1\r\n" + value(SHORT - 1), "x\r\n");

    final String first;
    final String rest;

    Form(String first, String rest) {
      this.first = first;
      this.rest = rest;
    }

    boolean isOfOrigin() {
      return name().startsWith("ORIGIN");
    }

    int length() {
      return name().contains("SHORT") ? SHORT : LONG;
    }
  }

  private static String value(int length) {
    return "x".repeat(length);
  }

  @TempDir
  private Path directory;
  private final CountDownLatch restMayCome = new CountDownLatch(1);

  private Stub origin(Form form) throws IOException {
    return new Stub(peer -> {
      if (peer.head() != null) {
        sendInTwoParts(peer, form);
        peer.socket.shutdownOutput();
        peer.beSilent();
      }
    });
  }

  private void sendInTwoParts(Stub.Peer peer, Form form) throws IOException, InterruptedException {
    peer.say(form.first);
    restMayCome.await();
    peer.say(form.rest);
  }

  private Stub cache(Form form) throws IOException {
    return new Stub(peer -> {
      for (String line = peer.line(); line != null; line = peer.line()) {
        if (line.equals("mn")) {
          peer.say("MN\r\n");
        } else if (form.isOfOrigin()) {
          peer.say("EN O9b h0\r\n");
        } else {
          sendInTwoParts(peer, form);
        }
      }
    });
  }

  private ProcessFixture start(Stub cache, Stub origin) throws Exception {
    return new ProcessFixture(directory, SETTINGS, List.of(ProxyFixture.host("a", cache.address(), "m2"),
        ProxyFixture.host("origin", origin.address(), "origin")));
  }

  @ParameterizedTest
  @EnumSource
  void aReplyThatHasBegunIsNotCutOffAtTheTargetTime(Form form) throws Exception {
    try (Stub cache = cache(form); Stub origin = origin(form); ProcessFixture proxy = start(cache, origin);
        Client client = new Client(proxy.port)) {
      client.send(READ);
      TimeUnit.MILLISECONDS.sleep(TARGET_MS * 2);
      restMayCome.countDown();
      assertEquals("VA " + form.length() + " O9b", client.line(), proxy::logText);
      assertEquals(value(form.length()) + "\r\n", client.bytes(form.length() + 2));
      assertEquals("MN", client.request("mn\r\n"));
    }
  }

  /** Over 64 KiB the time of an answer is that of its first bytes. */
  @Test
  void aLongValueIsPassedOnFromItsHeadOn() throws Exception {
    for (Form form : List.of(Form.ORIGIN_LENGTH, Form.CACHE_HEAD)) {
      try (Stub cache = cache(form); Stub origin = origin(form);
          ProcessFixture proxy = start(cache, origin); Client client = new Client(proxy.port)) {
        assertEquals("VA " + LONG + " O9b", client.request(READ), "before the first byte of the value");
      }
    }
  }

  /** After a SIGTERM too: a SIGKILL comes no sooner than the longest deadline and 0.7 s after it. */
  @Test
  void aLongValueWhoseBytesComeLateIsPassedOnAfterASigterm() throws Exception {
    Form form = Form.ORIGIN_LENGTH;
    try (Stub cache = cache(form); Stub origin = origin(form); ProcessFixture proxy = start(cache, origin);
        Client client = new Client(proxy.port)) {
      client.send(READ);
      TimeUnit.MILLISECONDS.sleep(TARGET_MS / 3);
      proxy.signal("TERM");
      TimeUnit.MILLISECONDS.sleep(TARGET_MS * 3);
      restMayCome.countDown();
      assertEquals("VA " + LONG + " O9b", client.line(), proxy::logText);
      assertEquals(value(LONG) + "\r\n", client.bytes(LONG + 2));
    }
  }

  /** A reply that has begun and never ends leaves its client with a final answer in time all the same. */
  @Test
  void aReplyOfUnknownLengthThatNeverEndsIsAnsweredAtTheDeadline() throws Exception {
    Form form = Form.ORIGIN_CHUNKED;
    try (Stub cache = cache(form); Stub origin = origin(form); ProcessFixture proxy = start(cache, origin);
        Client client = new Client(proxy.port)) {
      long sentAt = System.nanoTime();
      String answer = client.request(READ);
      long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
      assertTrue(answer.startsWith("SERVER_ERROR "), answer);
      assertTrue(elapsedMs < DEADLINE_MS + ANSWER_GRACE_MS, "after " + elapsedMs + " ms");
    }
  }
}
