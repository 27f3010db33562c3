package beampoint.buffer;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.BuffersBuffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** A message put together of texts and of bytes as they lie, to be written in one gathered write. */
public final class MessageBuilder {

  private final MemoryManager<?> memory;
  private final BuffersBuffer parts;

  public MessageBuilder(MemoryManager<?> memory) {
    this.memory = memory;
    this.parts = BuffersBuffer.create(memory);
  }

  public MessageBuilder text(String text) {
    parts.append(Buffers.wrap(memory, text.getBytes(StandardCharsets.ISO_8859_1)));
    return this;
  }

  /** Adds bytes without copying them, under bounds of their own: writing moves those of what it writes. */
  public MessageBuilder bytes(Buffer buffer) {
    return bytes(buffer, buffer.position(), buffer.limit());
  }

  /** Adds a part of a buffer. */
  public MessageBuilder bytes(Buffer buffer, int from, int to) {
    if (to > from) {
      parts.append(buffer.slice(from, to));
    }
    return this;
  }

  public Buffer message() {
    return parts;
  }
}
