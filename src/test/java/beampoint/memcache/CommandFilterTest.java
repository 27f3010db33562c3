package beampoint.memcache;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.buffer.Budget;
import beampoint.memcache.Command.Kind;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.glassfish.grizzly.memory.MemoryManager;
import org.junit.jupiter.api.Test;

/** Parsing of complete, split and malformed commands. */
class CommandFilterTest {

  private static final MemoryManager<?> MEMORY = new HeapMemoryManager();
  private static final String READ = "mg 7f3a9c21e0b4d655 v O9b1f03aa5c7e2d41 Pc=read,t=acme,d=480\r\n";
  private static final String WRITE = "ms 7f3a 5 O9b1f Pc=put,t=acme,d=480,k=5c0f6e1a\r\nab\r\nc\r\n";

  private static Buffer buffer(String text) {
    return Buffers.wrap(MEMORY, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static String text(Buffer buffer) {
    return buffer.toStringContent(StandardCharsets.ISO_8859_1);
  }

  private static CommandReader reader() {
    return new CommandReader(MEMORY, new Budget(1 << 20));
  }

  private static Command parse(String text) {
    return reader().parse(buffer(text));
  }

  private static void assertRejected(Kind kind, String problem, String text) {
    Buffer in = buffer(text);
    CommandReader reader = reader();
    Command command = reader.parse(in);
    assertEquals(kind, command.kind(), text);
    assertTrue(command.problem().startsWith(problem), command.problem());
  }

  @Test
  void readIsParsed() {
    Command command = parse(READ);
    assertEquals(Kind.READ, command.kind());
    assertEquals("7f3a9c21e0b4d655", text(command.key()));
    assertEquals("9b1f03aa5c7e2d41", text(command.id()));
    assertEquals("c=read,t=acme,d=480", text(command.parameters().bytes()));
    assertEquals("read", command.requestClass());
    assertEquals("acme", command.tenant());
    assertEquals(480, command.waitMs());
  }

  @Test
  void clientMayMarkARetry() {
    assertFalse(parse(READ).isRetry());
    assertTrue(parse(READ.replace("d=480", "d=480,r=1")).isRetry());
    assertFalse(parse(READ.replace("d=480", "d=480,r=0")).isRetry());
    assertTrue(parse(WRITE.replace("k=", "r=1,k=")).isRetry());
  }

  @Test
  void writeIsForwardedUnchangedExceptForTheTimeLeft() {
    Command command = parse(WRITE);
    assertEquals("ab\r\nc", text(command.value()));
    String sent = text(new Writer(MEMORY).command(command, 123));
    assertEquals(WRITE.replace("d=480", "d=123"), sent);
    assertEquals(WRITE, text(new Writer(MEMORY).command(command, 480)), "a command can be sent again");
  }

  /** Guards against bytes that are lost or duplicated at the end of a segment. */
  @Test
  void commandIsReadByteByByte() {
    String all = WRITE + READ;
    CommandReader reader = reader();
    Buffer in = null;
    int found = 0;
    for (int i = 0; i < all.length(); i++) {
      Buffer next = buffer(all.substring(i, i + 1));
      in = in == null || !in.hasRemaining() ? next : Buffers.appendBuffers(MEMORY, in, next);
      Command command = reader.parse(in);
      if (command != null) {
        found++;
        assertEquals(i == WRITE.length() - 1 ? Kind.WRITE : Kind.READ, command.kind());
        assertEquals(found == 1 ? WRITE : READ, text(new Writer(MEMORY).command(command, 480)));
      }
    }
    assertEquals(2, found);
  }

  @Test
  void badCommandsDoNotAffectTheNextOne() {
    CommandReader reader = reader();
    Buffer in = buffer("hello\r\n\r\nmg\r\nmg k v Oid\r\n"
        + "mg k v Oid Pc=read\r\nmg k x Oid Pc=r,d=1\r\nmn\r\n");
    for (String problem : new String[] {"ERROR", "ERROR", "CLIENT_ERROR", "CLIENT_ERROR", "CLIENT_ERROR",
        "CLIENT_ERROR"}) {
      Command command = reader.parse(in);
      assertEquals(Kind.BAD, command.kind());
      assertTrue(command.problem().startsWith(problem), command.problem());
    }
    assertEquals(Kind.READY, reader.parse(in).kind());
    assertRejected(Kind.BAD, "CLIENT_ERROR", "mg " + "k".repeat(251) + " v Oid Pc=read,d=1\r\n");
  }

  /** Guards against commands that the proxy and a server interpret differently, or that can't be answered. */
  @Test
  void commandThatViolatesTheProtocolIsRejected() {
    for (String line : new String[] {"mg k Oid Pc=r,d=1", "mg k v v Oid Pc=r,d=1", "mg k v Oid Oid Pc=r,d=1",
        "mg k v Oid Pc=r,d=1 Pc=r,d=2", "mg k v O Pc=r,d=1", "mg k v O" + "i".repeat(33) + " Pc=r,d=1",
        "mg k v Oid P", "mg k v Oid Pc=r,d=1,d=2", "mg k v Oid Pc=r,c=s,d=1", "mg k v Oid Pc=r,d=-1",
        "mg k v Oid Pc=r,d=1.x", "mg k v Oid Pc=r,d=+1", "mg k v Oid Pc=r,d=1e3", "mg k v Oid Pc=r,d=",
        "mg k v Oid Pc=r,d=99999999999", "mg k v Oid Pc=,d=1", "mg k v Oid Pc=r,,d=1", "mg k v Oid Pc=r,d=1,",
        "mg k v Oid Pc=r,d=1,t", "mg k v Oid Pd=1", "mg k 5 Oid Pc=r,d=1"}) {
      assertRejected(Kind.BAD, "CLIENT_ERROR", line + "\r\n");
    }
    assertRejected(Kind.BAD, "CLIENT_ERROR", "ms k 2 v Oid Pc=r,d=1\r\nab\r\n");
    assertRejected(Kind.FATAL, "CLIENT_ERROR", "ms k -2 Oid Pc=r,d=1\r\nab\r\n");
    assertRejected(Kind.FATAL, "CLIENT_ERROR", "mg \u00e9 v Oid Pc=r,d=1\r\n");
    assertEquals(Kind.READ, parse("mg k v Oid Pc=r,size=7,r=1,d=1\r\n").kind());
  }

  @Test
  void unrecoverableErrorsEndTheConnection() {
    assertRejected(Kind.FATAL, "CLIENT_ERROR line too long", "m".repeat(5000));
    assertRejected(Kind.FATAL, "SERVER_ERROR object too large", "ms k 4194305 Oid Pc=put,d=1\r\n");
    assertRejected(Kind.FATAL, "CLIENT_ERROR bad data chunk", "ms k five Oid Pc=put,d=1\r\n");
    assertRejected(Kind.FATAL, "CLIENT_ERROR bad data chunk", "ms k 2 Oid Pc=put,d=1\r\nabcd");
    // A carriage return in an id would end a header of the request to the origin, and could inject another.
    assertRejected(Kind.FATAL, "CLIENT_ERROR control", "mg k v Oid\rX-Evil:1 Pc=read,d=1\r\n");
    assertNull(parse("mg k v Oid Pc=read,d=1"));
  }

  @Test
  void valueOf64KibIsRead() {
    String value = "x".repeat(64 * 1024);
    Command command = parse("ms k 65536 Oid Pc=put,d=1\r\n" + value + "\r\n");
    assertEquals(value, text(command.value()));
  }

  /** Guards against values that are lost, duplicated or parsed as commands when they arrive in pieces. */
  @Test
  void longValueIsReadInPiecesOfAnySizeAndThenTheNextCommand() {
    StringBuilder value = new StringBuilder();
    for (int i = 0; value.length() < 300_000; i++) {
      value.append(i).append("\r\nmg ");
    }
    for (int piece : new int[] {1, 2, 1000, 70_001, 400_000}) {
      String all = "ms 7f " + value.length() + " Oid Pc=put,d=480\r\n" + value + "\r\n" + READ;
      CommandReader reader = reader();
      Buffer in = null;
      List<Command> read = new ArrayList<>();
      for (int i = 0; i < all.length(); i += piece) {
        Buffer next = buffer(all.substring(i, Math.min(all.length(), i + piece)));
        in = in == null || !in.hasRemaining() ? next : Buffers.appendBuffers(MEMORY, in, next);
        for (Command c = reader.parse(in); c != null; c = in.hasRemaining() ? reader.parse(in) : null) {
          read.add(c);
        }
      }
      assertEquals(2, read.size(), "pieces of " + piece);
      assertEquals(value.toString(), text(read.get(0).value()));
      assertEquals("ms 7f " + value.length() + " Oid Pc=put,d=12\r\n" + value + "\r\n",
          text(new Writer(MEMORY).command(read.get(0), 12)));
      assertEquals(Kind.READ, read.get(1).kind());
    }
  }

  /** Guards against the value of an invalid command being parsed as commands. */
  @Test
  void valueOfABadCommandIsSkipped() {
    CommandReader reader = reader();
    assertNull(reader.parse(buffer("ms k 100000 v Oid Pc=put,d=1\r\nmn\r\n")));
    Buffer in = buffer("x".repeat(100_000 - 4) + "\r\nmn\r\n");
    assertEquals(Kind.BAD, reader.parse(in).kind());
    assertEquals(Kind.READY, reader.parse(in).kind());
  }

  /** Guards against values that use up the memory, and against values that wait for memory. */
  @Test
  void aValueWithoutRoomIsDiscardedAndTheOthersAndTheNextCommandAreRead() {
    Budget budget = new Budget(100_000);
    CommandReader first = new CommandReader(MEMORY, budget);
    CommandReader second = new CommandReader(MEMORY, budget);
    assertNull(first.parse(buffer("ms k 70000 Oa Pc=put,d=1\r\n" + "x".repeat(60_000))));
    assertNull(second.parse(buffer("ms k 70000 Ob Pc=put,d=1\r\n" + "x".repeat(60_000))));
    assertEquals(60_000, budget.held(), "nothing of the second value is held");
    assertEquals(60_000, second.partialValueBytes(), "its bytes count as read");
    assertNull(second.parse(buffer("x".repeat(10_000) + "\r")));
    Buffer rest = buffer("\n" + READ);
    Command discarded = second.parse(rest);
    assertEquals(Kind.WRITE, discarded.kind());
    assertTrue(discarded.isValueDiscarded());
    assertEquals("b", text(discarded.id()));
    assertEquals(Kind.READ, second.parse(rest).kind());
    Command whole = first.parse(buffer("x".repeat(10_000) + "\r\n"));
    assertFalse(whole.isValueDiscarded());
    assertEquals("x".repeat(70_000), text(whole.value()));
    assertEquals(70_002, budget.held());
    whole.release();
    whole.release();
    discarded.release();
    assertEquals(0, budget.held());
  }

  /** Guards against values that are held and not counted, as they were read in one piece. */
  @Test
  void aValueThatIsReadInOnePieceTakesMemoryToo() {
    Budget budget = new Budget(100);
    CommandReader reader = new CommandReader(MEMORY, budget);
    Buffer in = buffer("ms k 60 Oa Pc=put,d=1\r\n" + "x".repeat(60) + "\r\nms k 60 Ob Pc=put,d=1\r\n"
        + "y".repeat(60) + "\r\n" + READ);
    Command first = reader.parse(in);
    assertEquals(62, budget.held());
    Command second = reader.parse(in);
    assertTrue(second.isValueDiscarded());
    assertEquals("b", text(second.id()));
    assertEquals(Kind.READ, reader.parse(in).kind());
    first.release();
    assertEquals(0, budget.held());
  }
}
