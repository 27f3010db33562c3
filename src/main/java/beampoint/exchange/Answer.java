package beampoint.exchange;

import beampoint.buffer.Stream;
import org.glassfish.grizzly.Buffer;

/**
 * A final answer: what a cache node or the origin gave, or the proxy's own word. A long value has a stream in
 * place of its body.
 */
public record Answer(Kind kind, Buffer body, Stream stream, long waitMs) {

  /** How a request ended. */
  public enum Kind { VALUE, RECEIPT, REFUSED, FAILED }

  public static final Answer FAILED = new Answer(Kind.FAILED, null, null, 0);

  public static Answer refused(long waitMs) {
    return new Answer(Kind.REFUSED, null, null, waitMs);
  }

  /** A value or a receipt that has come whole. */
  public static Answer whole(Kind kind, Buffer body) {
    return new Answer(kind, body, null, 0);
  }

  /** A value that is on its way. */
  public static Answer streamed(Stream stream) {
    return new Answer(Kind.VALUE, null, stream, 0);
  }
}
