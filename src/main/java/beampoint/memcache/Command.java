package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.request.ParameterList;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * One command of a client. The buffers are slices of what was read; {@code waitMs} is for how long the client
 * waits, {@code isRetry}: the client marked it as asked before.
 */
public record Command(Kind kind, Buffer key, Buffer id, ParameterList parameters, Buffer value,
    String requestClass, String tenant, int waitMs, boolean isRetry, String problem, Budget.Claim claim) {

  /** What a client asks; BAD is answered with the problem, FATAL also ends the connection. */
  public enum Kind {
    READ, WRITE, READY, STATS, VERSION, QUIT, BAD, FATAL
  }

  /** What is answered with a problem, and ends the connection. */
  public static Command fatal(String problem) {
    return of(Kind.FATAL, problem);
  }

  static Command of(Kind kind, String problem) {
    return new Command(kind, null, null, null, null, null, null, 0, false, problem, null);
  }

  /** The same command with its value, which came after it. */
  Command with(Buffer whole, Budget.Claim held) {
    return new Command(kind, key, id, parameters, whole, requestClass, tenant, waitMs, isRetry, problem, held);
  }

  /** The same command in buffers of its own, so that it does not keep those in which it came. */
  public Command apart(MemoryManager<?> memory) {
    return key == null ? this : new Command(kind, Collector.copy(memory, key), Collector.copy(memory, id),
        parameters.copy(memory), value, requestClass, tenant, waitMs, isRetry, problem, claim);
  }

  /** The bytes that it holds. */
  public int size() {
    return (key == null ? 0 : key.remaining() + id.remaining() + parameters.size())
        + (value == null ? 0 : value.remaining());
  }

  /** Its value is needed no more. */
  public void release() {
    if (claim != null) {
      claim.release();
    }
  }

  public boolean isRequest() {
    return kind == Kind.READ || kind == Kind.WRITE;
  }
}
