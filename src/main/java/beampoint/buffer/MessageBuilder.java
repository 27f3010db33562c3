package beampoint.buffer;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.BuffersBuffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** Builds a message from texts and from buffers that are not copied, to be written in one gathering write. */
public final class MessageBuilder {

  private final MemoryManager<?> memory;
  private final BuffersBuffer parts;

  public MessageBuilder(MemoryManager<?> memory) {
    this.memory = memory;
    this.parts = BuffersBuffer.create(memory);
  }

  /** Adds a text in ISO 8859-1. */
  public MessageBuilder text(String text) {
    parts.append(Buffers.wrap(memory, text.getBytes(StandardCharsets.ISO_8859_1)));
    return this;
  }

  /**
   * Adds the remaining bytes of a buffer without copying them. The message has its own position and limit
   * for them, because writing a buffer changes its bounds.
   */
  public MessageBuilder bytes(Buffer buffer) {
    return bytes(buffer, buffer.position(), buffer.limit());
  }

  /** Adds a part of a buffer without copying it. */
  public MessageBuilder bytes(Buffer buffer, int from, int to) {
    if (to > from) {
      parts.append(buffer.slice(from, to));
    }
    return this;
  }

  /** The message with all parts added so far. */
  public Buffer message() {
    return parts;
  }
}
