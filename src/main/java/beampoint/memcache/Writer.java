package beampoint.memcache;

import beampoint.buffer.MessageBuilder;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** Writes commands and answers; values and other parts are handed on as they lie. */
public final class Writer {

  private final MemoryManager<?> memory;

  public Writer(MemoryManager<?> memory) {
    this.memory = memory;
  }

  /** The command as the client sent it, but for the time that is left. */
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

  /** A value that was given for this request. */
  public Buffer value(Buffer id, Buffer value) {
    return new MessageBuilder(memory).text("VA " + value.remaining() + " O").bytes(id).text("\r\n")
        .bytes(value).text("\r\n").message();
  }

  /** The head of a value of so many bytes, which follow on their own. */
  public Buffer valueHead(Buffer id, long length) {
    return new MessageBuilder(memory).text("VA " + length + " O").bytes(id).text("\r\n").message();
  }

  /** The receipt that was given for this write. */
  public Buffer receipt(Buffer id, Buffer receipt) {
    return new MessageBuilder(memory).text("HD O").bytes(id).text(" c").bytes(receipt).text("\r\n").message();
  }

  /** One line of text. */
  public Buffer line(String text) {
    return new MessageBuilder(memory).text(text + "\r\n").message();
  }
}
