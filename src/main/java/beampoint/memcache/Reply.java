package beampoint.memcache;

import org.glassfish.grizzly.Buffer;

/**
 * One answer of a cache node; the body is the value or the receipt, a slice of what was read. There is a
 * surplus where more stands behind it than belongs to it. A long value has a length and no body: its bytes
 * follow as {@link ReplyPart}. The load is the text of the report that came along, or null.
 */
public record Reply(Kind kind, Buffer id, Buffer body, boolean surplus, int length, String load) {

  /** What the answer says; BAD is not of this protocol, and what follows it can't be read. */
  public enum Kind {
    VALUE, RECEIPT, MISS, FAILED, BUSY, ALIVE, BAD
  }

  Reply(Kind kind, Buffer id, Buffer body, boolean surplus, String load) {
    this(kind, id, body, surplus, 0, load);
  }

  /** True where the value's bytes follow on their own. */
  public boolean isStreamed() {
    return kind == Kind.VALUE && body == null;
  }
}
