package beampoint.buffer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.BuffersBuffer;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Bytes put together as they come, in chunks that grow. Guards against peers that write a byte at a time, of
 * which each would be a buffer, and against those that announce much and send nothing.
 */
public final class Collector {

  private static final int FIRST_CHUNK = 512;
  private static final int LARGEST_CHUNK = 32 * 1024;

  private final MemoryManager<?> memory;
  private final Budget.Claim claim;
  private final int length;
  private final BuffersBuffer whole;
  private byte[] chunk = new byte[0];
  private int used;
  private int size;

  /** Collects so many bytes at the most; the claim may be null. */
  public Collector(MemoryManager<?> memory, int length, Budget.Claim claim) {
    this.memory = memory;
    this.length = length;
    this.claim = claim;
    this.whole = BuffersBuffer.create(memory);
  }

  /** Takes what is missing off a buffer; false where no more may be read for now. */
  public boolean add(Buffer in) {
    int count = Math.min(length - size, in.remaining());
    size += count;
    for (int left = count; left > 0;) {
      if (used == chunk.length) {
        closeChunk();
        int next = Math.min(LARGEST_CHUNK, Math.max(FIRST_CHUNK, Math.max(left, 2 * used)));
        chunk = new byte[Math.min(next, length - size + left)];
        used = 0;
      }
      int part = Math.min(left, chunk.length - used);
      in.get(chunk, used, part);
      used += part;
      left -= part;
    }
    return claim == null || claim.add(count);
  }

  private void closeChunk() {
    if (used > 0) {
      whole.append(Buffers.wrap(memory, chunk, 0, used));
    }
  }

  public boolean isComplete() {
    return size == length;
  }

  public int size() {
    return size;
  }

  /** All bytes, once they have come; nothing more may be added. */
  public Buffer message() {
    closeChunk();
    used = 0;
    chunk = new byte[0];
    if (claim != null) {
      claim.complete();
    }
    return whole;
  }

  /** A copy in one piece, which does not keep what it was cut from. */
  public static Buffer copy(MemoryManager<?> memory, Buffer in) {
    int at = in.position();
    byte[] bytes = new byte[in.remaining()];
    in.get(bytes);
    in.position(at);
    return Buffers.wrap(memory, bytes);
  }
}
