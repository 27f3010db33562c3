package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.request.ParameterList;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * One command of a client. The buffers are slices of what was read.
 *
 * @param value the value of a write; null if it was discarded for lack of memory, and for other commands
 * @param waitMs for how long the client waits for the answer, in ms
 * @param isRetry true if the client marked the request as a retry
 * @param problem the error line to answer with, or null
 * @param claim the memory budget that the value takes, or null
 */
public record Command(Kind kind, Buffer key, Buffer id, ParameterList parameters, Buffer value,
    String requestClass, String tenant, int waitMs, boolean isRetry, String problem, Budget.Claim claim) {

  /** The kinds of commands; BAD is answered with the problem, FATAL also ends the connection. */
  public enum Kind {
    READ, WRITE, READY, STATS, VERSION, QUIT, BAD, FATAL
  }

  /** A command that is answered with a problem, and ends the connection. */
  public static Command fatal(String problem) {
    return of(Kind.FATAL, problem);
  }

  static Command of(Kind kind, String problem) {
    return new Command(kind, null, null, null, null, null, null, 0, false, problem, null);
  }

  /** The same command with its value. */
  Command withValue(Buffer newValue, Budget.Claim newClaim) {
    return new Command(kind, key, id, parameters, newValue, requestClass, tenant, waitMs, isRetry, problem,
        newClaim);
  }

  /** A copy with buffers of its own, which does not keep the larger ones that it was read into. */
  public Command copy(MemoryManager<?> memory) {
    return key == null ? this : new Command(kind, Collector.copy(memory, key), Collector.copy(memory, id),
        parameters.copy(memory), value, requestClass, tenant, waitMs, isRetry, problem, claim);
  }

  /** The bytes of its buffers. */
  public int size() {
    return (key == null ? 0 : key.remaining() + id.remaining() + parameters.size())
        + (value == null ? 0 : value.remaining());
  }

  /** Releases the memory budget of its value, which is not needed any more. */
  public void release() {
    if (claim != null) {
      claim.release();
    }
  }

  /** True for a write whose value was discarded, as there was no memory for it: it can only be refused. */
  public boolean isValueDiscarded() {
    return kind == Kind.WRITE && value == null;
  }

  /** True for a read or a write. */
  public boolean isRequest() {
    return kind == Kind.READ || kind == Kind.WRITE;
  }
}
