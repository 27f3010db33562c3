package beampoint.request;

import beampoint.buffer.Collector;
import beampoint.buffer.MessageBuilder;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The list of names and values that a client sends with a request, such as {@code c=read,t=acme,d=480}, as
 * the bytes that were read. {@code waitStart} and {@code waitEnd} are the bounds, in these bytes, of the
 * value of {@code d}, the time for which the client waits, in ms; both are 0 if the list has none.
 */
public record ParameterList(Buffer bytes, int waitStart, int waitEnd) {

  /**
   * Appends the list to a request to a server. The time that is left replaces the client's time, part of
   * which has passed since it sent the request; all other bytes are unchanged. A list without a time stays
   * without one. This is the only place that writes the list, for both protocols.
   *
   * @param timeLeftMs how long the proxy still waits, in whole ms, rounded down; the client waits at least as
   * long
   */
  public void appendTo(MessageBuilder request, long timeLeftMs) {
    if (waitEnd <= waitStart) {
      request.bytes(bytes);
      return;
    }
    request.bytes(bytes, bytes.position(), waitStart);
    request.text(Long.toString(timeLeftMs));
    request.bytes(bytes, waitEnd, bytes.limit());
  }

  /** A copy in a buffer of its own, which does not keep the larger one that the list was read into. */
  public ParameterList copy(MemoryManager<?> memory) {
    int from = bytes.position();
    boolean hasTime = waitEnd > waitStart;
    return new ParameterList(Collector.copy(memory, bytes), hasTime ? waitStart - from : 0,
        hasTime ? waitEnd - from : 0);
  }

  /** The length in bytes. */
  public int size() {
    return bytes.remaining();
  }
}
