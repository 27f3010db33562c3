package beampoint.memcache;

import org.glassfish.grizzly.Buffer;

/**
 * One command of a client. The buffers are slices of what was read; {@code list} is the list of names and
 * values without its letter, {@code waitFrom} and {@code waitTo} the bounds of d's figure in it.
 */
public record Command(Kind kind, Buffer key, Buffer id, Buffer list, int waitFrom, int waitTo, Buffer value,
    String requestClass, String tenant, int waitMs, String problem) {

  /** What a client asks; BAD is answered with the problem, FATAL also ends the connection. */
  public enum Kind { READ, WRITE, READY, STATS, VERSION, QUIT, BAD, FATAL }

  static Command of(Kind kind, String problem) {
    return new Command(kind, null, null, null, 0, 0, null, null, null, 0, problem);
  }

  public boolean isRequest() {
    return kind == Kind.READ || kind == Kind.WRITE;
  }
}
