package beampoint.memcache;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.BuffersBuffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Writes heads; values and other parts are handed on as they lie, to be written in one gathered write. */
public final class Writer {

  private static final byte[] LINE_END = {'\r', '\n'};

  private final MemoryManager<?> memory;

  public Writer(MemoryManager<?> memory) {
    this.memory = memory;
  }

  /** The command as the client sent it, but for the time that this proxy will wait. */
  public Buffer command(Command command, long waitMs) {
    Buffer list = command.list();
    BuffersBuffer out = gather();
    out.append(wrap(command.kind() == Command.Kind.READ ? "mg " : "ms "));
    out.append(share(command.key()));
    out.append(wrap(command.kind() == Command.Kind.READ ? " v O" : " " + command.value().remaining() + " O"));
    out.append(share(command.id()));
    out.append(wrap(" P"));
    out.append(list.slice(list.position(), command.waitFrom()));
    out.append(wrap(Long.toString(waitMs)));
    out.append(list.slice(command.waitTo(), list.limit()));
    out.append(Buffers.wrap(memory, LINE_END));
    if (command.value() != null) {
      out.append(share(command.value()));
      out.append(Buffers.wrap(memory, LINE_END));
    }
    return out;
  }

  /** A value that was given for this request. */
  public Buffer value(Buffer id, Buffer value) {
    BuffersBuffer out = gather();
    out.append(wrap("VA " + value.remaining() + " O"));
    out.append(share(id));
    out.append(Buffers.wrap(memory, LINE_END));
    out.append(share(value));
    out.append(Buffers.wrap(memory, LINE_END));
    return out;
  }

  /** The receipt that was given for this write. */
  public Buffer receipt(Buffer id, Buffer receipt) {
    BuffersBuffer out = gather();
    out.append(wrap("HD O"));
    out.append(share(id));
    out.append(wrap(" c"));
    out.append(share(receipt));
    out.append(Buffers.wrap(memory, LINE_END));
    return out;
  }

  /** One line of text. */
  public Buffer line(String text) {
    return wrap(text + "\r\n");
  }

  private Buffer wrap(String text) {
    return Buffers.wrap(memory, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** The same bytes under bounds of their own: writing moves the bounds of what it writes. */
  private static Buffer share(Buffer buffer) {
    return buffer.slice(buffer.position(), buffer.limit());
  }

  private BuffersBuffer gather() {
    return BuffersBuffer.create(memory);
  }
}
