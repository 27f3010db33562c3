package beampoint.memcache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.buffer.Budget;
import beampoint.memcache.Reply.Kind;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

/** Parsing of the answers of cache nodes. */
class ReplyFilterTest {

  private static final MemoryManager<?> MEMORY = new HeapMemoryManager();

  private static Buffer buffer(String text) {
    return Buffers.wrap(MEMORY, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static ReplyReader reader() {
    return new ReplyReader(MEMORY, new Budget(1 << 20));
  }

  private static Reply parse(String text) {
    return (Reply) reader().parse(buffer(text));
  }

  private static String text(Buffer buffer) {
    return buffer.toStringContent(StandardCharsets.ISO_8859_1);
  }

  @Test
  void valueIsReadWithItsIdAndOtherFlagsAreIgnored() {
    Reply reply = parse("VA 5 O9b1f h1 Linflight=7,queue=2,util=0.61\r\nab\r\nc\r\n");
    assertEquals(Kind.VALUE, reply.kind());
    assertEquals("9b1f", text(reply.id()));
    assertEquals("ab\r\nc", text(reply.body()));
    assertEquals("", text(parse("VA 0 O9b1f\r\n\r\n").body()));
  }

  /** Guards against passing on a truncated value as if it were complete. */
  @Test
  void valueIsNoAnswerBeforeItIsComplete() {
    String whole = "VA 5 O9b1f\r\nabcde\r\n";
    for (int i = 0; i < whole.length(); i++) {
      assertNull(parse(whole.substring(0, i)), "after " + i + " bytes");
    }
  }

  @Test
  void otherAnswersAreRead() {
    Reply receipt = parse("HD O9b1f cRECEIPT-7 Lutil=0.1\r\n");
    assertEquals(Kind.RECEIPT, receipt.kind());
    assertEquals("RECEIPT-7", text(receipt.body()));
    assertEquals(Kind.MISS, parse("EN O9b1f h0 Z\r\n").kind());
    assertEquals(Kind.BUSY, parse("SERVER_ERROR busy\r\n").kind());
    assertEquals(Kind.BUSY, parse("SERVER_ERROR busy Lutil=0.9\r\n").kind());
    assertEquals(Kind.FAILED, parse("SERVER_ERROR failed\r\n").kind());
    assertEquals(Kind.FAILED, parse("SERVER_ERROR something else\r\n").kind());
    assertEquals(Kind.ALIVE, parse("MN\r\n").kind());
  }

  /** Guards against reusing a connection on which more was read than the answer. */
  @Test
  void bytesBehindAnAnswerAreReportedAsSurplus() {
    for (String answer : new String[] {"VA 2 O9b1f h1\r\nok\r\n", "HD O9b1f c1\r\n", "EN O9b1f h0\r\n",
        "MN\r\n", "SERVER_ERROR busy\r\n"}) {
      assertFalse(parse(answer).surplus(), answer);
      assertTrue(parse(answer + "x").surplus(), answer);
    }
  }

  /** Guards against accepting an answer that can't be assigned to one request. */
  @Test
  void answerWithTwoIdsHasNone() {
    assertNull(parse("VA 0 O9b1f Oother\r\n\r\n").id());
    assertNull(parse("EN O9b1f O9b1f\r\n").id());
  }

  @Test
  void protocolViolationsAreBad() {
    assertEquals(Kind.BAD, parse("HTTP/1.1 200 OK\r\n").kind());
    assertEquals(Kind.BAD, parse("\r\n").kind());
    assertEquals(Kind.BAD, parse("EN\u0001 O9b1f\r\n").kind());
    assertEquals(Kind.BAD, parse("VA 3000000000\r\nabc").kind());
    assertEquals(Kind.BAD, parse("VA x O9b1f\r\n").kind());
    assertEquals(Kind.BAD, parse("VA 4194305 O9b1f\r\n").kind());
    assertEquals(Kind.BAD, parse("VA 2 O9b1f\r\nabcdef\r\n").kind());
    assertEquals(Kind.BAD, parse("x".repeat(5000)).kind());
  }

  /** What is parsed of answers that arrive in pieces of a size: kinds, lengths and bytes. */
  private static String read(String all, int piece) {
    ReplyReader reader = reader();
    StringBuilder read = new StringBuilder();
    Buffer in = null;
    for (int i = 0; i < all.length(); i += piece) {
      Buffer next = buffer(all.substring(i, Math.min(all.length(), i + piece)));
      in = in == null || !in.hasRemaining() ? next : Buffers.appendBuffers(MEMORY, in, next);
      for (Object o = reader.parse(in); o != null; o = in.hasRemaining() ? reader.parse(in) : null) {
        if (o instanceof Reply reply) {
          read.append(reply.kind()).append(reply.id() == null ? "" : text(reply.id()))
              .append(reply.isStreamed() ? ":" + reply.length() + ":" : "=")
              .append(reply.body() == null ? "" : text(reply.body()));
        } else if (o instanceof ReplyPart part) {
          read.append(text(part.bytes())).append(part.last() ? "|" : "");
        }
      }
    }
    return read.toString();
  }

  @Test
  void longValueIsStreamedAndShortOneIsReadWhenComplete() {
    String value = "ab\r\n".repeat(20_000);
    String all = "VA 80000 O9b1f h1\r\n" + value + "\r\nVA 5 O9b1f\r\nab\r\nc\r\n";
    for (int piece : new int[] {1, 3, 4096, 79_999, 200_000}) {
      assertEquals("VALUE9b1f:80000:" + value + "|VALUE9b1f=ab\r\nc", read(all, piece), "pieces of " + piece);
    }
  }

  /** Guards against a long value that passes for complete though its end is corrupt. */
  @Test
  void longValueWithoutItsEndIsNeverComplete() {
    String value = "x".repeat(70_000);
    for (String end : new String[] {"", "\r", "\rx", "xx", "\n"}) {
      assertFalse(read("VA 70000 O9b1f\r\n" + value + end, 1000).contains("|"), end);
    }
  }
}
