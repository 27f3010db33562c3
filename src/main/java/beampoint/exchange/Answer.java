package beampoint.exchange;

import beampoint.buffer.Stream;
import org.glassfish.grizzly.Buffer;

/**
 * The final answer to a request: a value or receipt from a cache node or the origin, or a refusal or failure
 * of the proxy's own. A long value has a stream instead of a body.
 *
 * @param retryAfterMs the retry-after of a refusal, in ms; 0 if there is none
 */
public record Answer(Kind kind, Buffer body, Stream stream, long retryAfterMs) {

  /** How a request ended: served with a value or a receipt, refused, or failed. */
  public enum Kind {
    VALUE, RECEIPT, REFUSED, FAILED
  }

  public static final Answer FAILED = new Answer(Kind.FAILED, null, null, 0);

  /** A refusal; with a retry-after, in ms, if that is above 0. */
  public static Answer refused(long retryAfterMs) {
    return new Answer(Kind.REFUSED, null, null, retryAfterMs);
  }

  /** A value or a receipt that was received completely. */
  public static Answer complete(Kind kind, Buffer body) {
    return new Answer(kind, body, null, 0);
  }

  /** A value whose bytes are still being received. */
  public static Answer streamed(Stream stream) {
    return new Answer(Kind.VALUE, null, stream, 0);
  }
}
