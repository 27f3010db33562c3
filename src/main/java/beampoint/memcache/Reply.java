package beampoint.memcache;

import org.glassfish.grizzly.Buffer;

/**
 * One reply of a cache node.
 *
 * @param body the value or the receipt, a slice of what was read; null for a long value, whose bytes follow
 * as {@link ReplyPart}
 * @param surplus true if more bytes were read than belong to the reply
 * @param length the length of a long value
 * @param loadReport the text of the load report in the reply, or null
 */
public record Reply(Kind kind, Buffer id, Buffer body, boolean surplus, int length, String loadReport) {

  /**
   * The kinds of replies. BAD violates the protocol, and what follows it can't be parsed. DISCARDED is a
   * value for which there is no memory, and the rest of which is not read.
   */
  public enum Kind {
    VALUE, RECEIPT, MISS, FAILED, BUSY, ALIVE, BAD, DISCARDED
  }

  Reply(Kind kind, Buffer id, Buffer body, boolean surplus, String loadReport) {
    this(kind, id, body, surplus, 0, loadReport);
  }

  /** True if the value's bytes follow separately. */
  public boolean isStreamed() {
    return kind == Kind.VALUE && body == null;
  }
}
