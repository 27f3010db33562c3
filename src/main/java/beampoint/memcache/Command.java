package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * One command of a client. The buffers are slices of what was read; {@code list} is the list of names and
 * values without its letter, {@code waitFrom} and {@code waitTo} the bounds of d's figure in it;
 * {@code again}: the client marked it as asked before.
 */
public record Command(Kind kind, Buffer key, Buffer id, Buffer list, int waitFrom, int waitTo, Buffer value,
    String requestClass, String tenant, int waitMs, boolean again, String problem, Budget.Claim claim) {

  /** What a client asks; BAD is answered with the problem, FATAL also ends the connection. */
  public enum Kind { READ, WRITE, READY, STATS, VERSION, QUIT, BAD, FATAL }

  static Command of(Kind kind, String problem) {
    return new Command(kind, null, null, null, 0, 0, null, null, null, 0, false, problem, null);
  }

  /** The same command with its value, which came after it. */
  Command with(Buffer whole, Budget.Claim held) {
    return new Command(kind, key, id, list, waitFrom, waitTo, whole, requestClass, tenant, waitMs, again,
        problem, held);
  }

  /** The same command in buffers of its own, so that it does not keep those in which it came. */
  public Command apart(MemoryManager<?> memory) {
    int from = list == null ? 0 : list.position();
    return key == null ? this : new Command(kind, Collector.copy(memory, key), Collector.copy(memory, id),
        Collector.copy(memory, list), waitFrom - from, waitTo - from, value, requestClass, tenant, waitMs,
        again, problem, claim);
  }

  /** The bytes that it holds. */
  public int size() {
    return (key == null ? 0 : key.remaining() + id.remaining() + list.remaining())
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
