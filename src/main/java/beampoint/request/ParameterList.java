package beampoint.request;

import beampoint.buffer.Collector;
import beampoint.buffer.MessageBuilder;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The list of names and values that a client sends with a request, such as {@code c=read,t=acme,d=480}, as
 * the bytes in which it came. {@code timeFrom} and {@code timeTo} are the bounds, in these bytes, of the
 * figure of {@code d}, the time for which the client waits, in ms; both are 0 where the list has none.
 */
public record ParameterList(Buffer bytes, int timeFrom, int timeTo) {

  /**
   * Adds the list to a request for a server. The time that is left replaces what the client said when it sent
   * the request, part of which has passed since; every other byte goes on unchanged. A list without a time
   * stays without one. This is the only place that writes the list, for both protocols.
   *
   * @param timeLeftMs whole ms, rounded down, for which the proxy will wait and the client will at most
   */
  public void appendTo(MessageBuilder request, long timeLeftMs) {
    if (timeTo <= timeFrom) {
      request.bytes(bytes);
      return;
    }
    request.bytes(bytes, bytes.position(), timeFrom);
    request.text(Long.toString(timeLeftMs));
    request.bytes(bytes, timeTo, bytes.limit());
  }

  /** The same list in a buffer of its own, which does not keep the one in which it came. */
  public ParameterList copy(MemoryManager<?> memory) {
    int from = bytes.position();
    boolean hasTime = timeTo > timeFrom;
    return new ParameterList(Collector.copy(memory, bytes), hasTime ? timeFrom - from : 0,
        hasTime ? timeTo - from : 0);
  }

  /** How many bytes it has. */
  public int size() {
    return bytes.remaining();
  }
}
