package beampoint.memcache;

import beampoint.buffer.MessageBuilder;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** Writes commands and answers; values and other buffers are passed on without copying. */
public final class Writer {

  private final MemoryManager<?> memory;

  public Writer(MemoryManager<?> memory) {
    this.memory = memory;
  }

  /** The command as the client sent it, with the time that is left in place of the client's. */
  public Buffer command(Command command, long timeLeftMs) {
    Buffer value = command.value();
    MessageBuilder out = new MessageBuilder(memory);
    out.text(value == null ? "mg " : "ms ").bytes(command.key());
    out.text(value == null ? " v O" : " " + value.remaining() + " O").bytes(command.id()).text(" P");
    command.parameters().appendTo(out, timeLeftMs);
    out.text("\r\n");
    if (value != null) {
      out.bytes(value).text("\r\n");
    }
    return out.message();
  }

  /** The answer with the value to a read. */
  public Buffer value(Buffer id, Buffer value) {
    return new MessageBuilder(memory).text("VA " + value.remaining() + " O").bytes(id).text("\r\n")
        .bytes(value).text("\r\n").message();
  }

  /** The head of the answer to a read with a value of so many bytes, which follow separately. */
  public Buffer valueHead(Buffer id, long length) {
    return new MessageBuilder(memory).text("VA " + length + " O").bytes(id).text("\r\n").message();
  }

  /** The answer with the receipt to a write. */
  public Buffer receipt(Buffer id, Buffer receipt) {
    return new MessageBuilder(memory).text("HD O").bytes(id).text(" c").bytes(receipt).text("\r\n").message();
  }

  /** One line of text. */
  public Buffer line(String text) {
    return new MessageBuilder(memory).text(text + "\r\n").message();
  }
}
