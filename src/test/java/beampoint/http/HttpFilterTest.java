package beampoint.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import beampoint.http.HttpFilter.MessageKind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

/** Parsing of HTTP responses that arrive in pieces of any size. */
class HttpFilterTest {

  private static final MemoryManager<?> MEMORY = new HeapMemoryManager();

  private static Buffer buffer(String text) {
    return Buffers.wrap(MEMORY, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static Object parse(HttpFilter.Progress progress, Buffer in) throws HttpException {
    return HttpFilter.parse(MessageKind.RESPONSES, progress, in);
  }

  /** Parses a text that arrives in pieces of this size; returns heads and bodies, with a bar at each end. */
  private static String read(String text, int piece) throws HttpException {
    HttpFilter.Progress progress = new HttpFilter.Progress();
    StringBuilder read = new StringBuilder();
    Buffer in = Buffers.EMPTY_BUFFER;
    for (int i = 0; i < text.length(); i += piece) {
      Buffer next = buffer(text.substring(i, Math.min(text.length(), i + piece)));
      in = in.hasRemaining() ? Buffers.appendBuffers(MEMORY, in, next) : next;
      List<Object> parts = new ArrayList<>();
      for (Object o = parse(progress, in); o != null; o = parse(progress, in)) {
        parts.add(o);
      }
      for (Object part : parts) {
        if (part instanceof HttpContent content) {
          read.append(content.bytes().toStringContent(StandardCharsets.ISO_8859_1));
          read.append(content.last() ? "|" : "");
        } else if (part instanceof HttpHead head) {
          read.append(head.status()).append(head.declined() ? "declined" : "")
              .append(head.closes() ? "closes" : "").append(head.hasNoBody() ? "|" : ":");
        }
      }
    }
    return read.toString();
  }

  @Test
  void bodiesOfStatedLengthAndInChunksMayArriveInAnyPieces() throws HttpException {
    String text = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nSrv-Load: {}\r\nX:\n\r\nab\r\nc"
        + "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n1;x=y\r\n\n\r\n10\r\n"
        + "0123456789abcdef\r\n0\r\nTrailer: 1\r\n\r\n"
        + "HTTP/1.1 503 Busy\r\nsrv-declined: 1\r\nCONTENT-LENGTH:0\r\nConnection: close\r\n\r\n";
    for (int piece = 1; piece <= text.length(); piece++) {
      assertEquals("200:ab\r\nc|200:one\n0123456789abcdef|503declinedcloses|", read(text, piece),
          "in pieces of " + piece);
    }
  }

  /** An interim response (1xx) must not be taken for the final one, which follows it. */
  @Test
  void interimResponsesAreSkipped() throws HttpException {
    String text = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
        + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (int piece = 1; piece <= text.length(); piece++) {
      assertEquals("200:ok|", read(text, piece), "in pieces of " + piece);
    }
  }

  /** A connection on which more was received than the response must not be used again. */
  @Test
  void bytesAfterAResponseAreReportedWithIt() throws HttpException {
    for (String answer : new String[] {"Content-Length: 2\r\n\r\nok", "Content-Length: 0\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}) {
      for (String more : new String[] {"", "x"}) {
        Buffer in = buffer("HTTP/1.1 200 OK\r\n" + answer + more);
        HttpFilter.Progress progress = new HttpFilter.Progress();
        Object last = HttpFilter.parse(MessageKind.RESPONSES, progress, in);
        while (!(last instanceof HttpHead head && head.hasNoBody())
            && !(last instanceof HttpContent content && content.last())) {
          last = HttpFilter.parse(MessageKind.RESPONSES, progress, in);
        }
        boolean surplus = last instanceof HttpHead head ? head.surplus() : ((HttpContent) last).surplus();
        assertEquals(!more.isEmpty(), surplus, answer);
      }
    }
  }

  /** Malformed heads and chunks must be rejected, so that a client does not get a corrupted value. */
  @Test
  void malformedFramingIsAnError() {
    for (String malformed : new String[] {"200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n",
        "200 OK\r\nContent-Length: -1\r\nContent-Length: 5\r\n", "200 OK\r\nContent-Length: +5\r\n",
        "200 OK\r\nContent-Length: 5 5\r\n", "200 OK\r\nContent-Length: 3000000000\r\n",
        "200 OK\r\nno colon here\r\nContent-Length: 5\r\n", "200 OK\r\n: 5\r\nContent-Length: 5\r\n",
        "200 OK\r\n folded: 5\r\nContent-Length: 5\r\n", "OK 200\r\nContent-Length: 5\r\n",
        "2x0 OK\r\nContent-Length: 5\r\n", "200 OK\r\nContent-Length: 5\r\nX\n",
        "2000 OK\r\nContent-Length: 5\r\n",
        "101 Switching\r\nContent-Length: 5\r\n", "200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
        "200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n"}) {
      assertThrows(HttpException.class, () -> read("HTTP/1.1 " + malformed + "\r\nabcde", 500), malformed);
    }
    for (String chunks : new String[] {"2\r\nabc\r\n0\r\n\r\n", "2x\r\nab\r\n0\r\n\r\n", "-2\r\nab\r\n"}) {
      assertThrows(HttpException.class,
          () -> read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks, 500), chunks);
    }
  }

  /** The body ends when the connection is closed, so no part that is read from the bytes is the last. */
  @Test
  void aBodyWithoutALengthLastsUntilTheClose() throws HttpException {
    String text = "HTTP/1.1 200 OK\r\n\r\nabcHTTP/1.1 200 OK\r\n";
    for (int piece = 1; piece <= text.length(); piece++) {
      assertEquals("200closes:abcHTTP/1.1 200 OK\r\n", read(text, piece));
    }
  }

  @Test
  void textThatIsNotHttpOrTooLongIsAnError() {
    assertThrows(HttpException.class, () -> read("VA 5 O1 and more than a head\r\n\r\n", 100));
    assertThrows(HttpException.class, () -> read("HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\n", 100));
    assertThrows(HttpException.class,
        () -> read("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 100));
    assertThrows(HttpException.class, () -> read("x".repeat(20_000), 20_000));
  }
}
