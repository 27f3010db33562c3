package beampoint.buffer;

import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.BuffersBuffer;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Collects the bytes of a message as they arrive, in chunks of growing size. Peers that write one byte at a
 * time do not cost a buffer for each byte, and peers that announce a long message and send nothing do not
 * cost the announced memory.
 */
public final class Collector {

  private static final int FIRST_CHUNK_BYTES = 512;
  private static final int MAX_CHUNK_BYTES = 32 * 1024;

  private final MemoryManager<?> memory;
  private final Budget.Claim claim;
  private final int length;
  private final BuffersBuffer message; // of the chunks that are full
  private byte[] chunk = new byte[0];
  private int used; // bytes of the current chunk
  private int size;

  /**
   * A collector of one message.
   *
   * @param length the length of the message in bytes
   * @param claim counts the bytes in a budget
   */
  public Collector(MemoryManager<?> memory, int length, Budget.Claim claim) {
    this.memory = memory;
    this.length = length;
    this.claim = claim;
    this.message = BuffersBuffer.create(memory);
  }

  /**
   * Takes up to the missing bytes from a buffer. Returns false, and takes none, if there is no memory for
   * them: then the message has to be discarded.
   */
  public boolean add(Buffer in) {
    int count = Math.min(length - size, in.remaining());
    if (!claim.add(count)) {
      return false;
    }
    size += count;
    for (int left = count; left > 0;) {
      if (used == chunk.length) {
        closeChunk();
        int next = Math.min(MAX_CHUNK_BYTES, Math.max(FIRST_CHUNK_BYTES, Math.max(left, 2 * used)));
        chunk = new byte[Math.min(next, length - size + left)];
        used = 0;
      }
      int part = Math.min(left, chunk.length - used);
      in.get(chunk, used, part);
      used += part;
      left -= part;
    }
    return true;
  }

  private void closeChunk() {
    if (used > 0) {
      message.append(Buffers.wrap(memory, chunk, 0, used));
    }
  }

  /** True once all bytes have been collected. */
  public boolean isComplete() {
    return size == length;
  }

  /** The number of bytes collected so far. */
  public int size() {
    return size;
  }

  /** The budget's claim of the bytes, which outlives the collector if the message is kept. */
  public Budget.Claim claim() {
    return claim;
  }

  /** The bytes are no longer held. A second call has no effect. */
  public void release() {
    claim.release();
  }

  /** Returns the complete message; nothing may be added after that. Its bytes stay claimed. */
  public Buffer message() {
    closeChunk();
    used = 0;
    chunk = new byte[0];
    return message;
  }

  /** Copies a buffer into a single array, so that the copy does not keep the original reachable. */
  public static Buffer copy(MemoryManager<?> memory, Buffer in) {
    int position = in.position();
    byte[] bytes = new byte[in.remaining()];
    in.get(bytes);
    in.position(position);
    return Buffers.wrap(memory, bytes);
  }
}
