package beampoint.exchange;

import org.glassfish.grizzly.Buffer;

/** A final answer: what a cache node or the origin gave, or the proxy's own word. */
public record Answer(Kind kind, Buffer body, long waitMs) {

  /** How a request ended. */
  public enum Kind { VALUE, RECEIPT, REFUSED, FAILED }

  public static final Answer FAILED = new Answer(Kind.FAILED, null, 0);

  public static Answer refused(long waitMs) {
    return new Answer(Kind.REFUSED, null, waitMs);
  }
}
