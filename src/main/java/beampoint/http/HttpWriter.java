package beampoint.http;

import beampoint.buffer.MessageBuilder;
import beampoint.request.ParameterList;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** Writes requests, whose body is passed on without a copy, and short responses. */
public final class HttpWriter {

  private final MemoryManager<?> memory;

  public HttpWriter(MemoryManager<?> memory) {
    this.memory = memory;
  }

  /** A request without a body. */
  public Buffer get(String path, String host) {
    return new MessageBuilder(memory).text("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
        .message();
  }

  /**
   * A request to the origin on behalf of a client: a PUT with a body for a write, or a GET.
   *
   * @param host the value of the header Host
   * @param key the key, sent as the path after the slash
   * @param id the id of the request, sent in the header Req-Id
   * @param parameters its parameters, sent in the header Req-Extra
   * @param timeLeftMs the time left until its deadline, in ms, sent with the parameters
   * @param body the value to write, or null for a read
   */
  public Buffer request(String host, Buffer key, Buffer id, ParameterList parameters, long timeLeftMs,
      Buffer body) {
    MessageBuilder out = new MessageBuilder(memory);
    out.text(body == null ? "GET /" : "PUT /").bytes(key);
    out.text(" HTTP/1.1\r\nHost: " + host + "\r\nReq-Id: ").bytes(id);
    out.text("\r\nReq-Extra: ");
    parameters.appendTo(out, timeLeftMs);
    if (body == null) {
      return out.text("\r\n\r\n").message();
    }
    return out.text("\r\nContent-Length: " + body.remaining() + "\r\n\r\n").bytes(body).message();
  }

  /** A response of one line of text, after which the connection is closed. */
  public Buffer response(int status, String reason, String text) {
    return new MessageBuilder(memory).text("HTTP/1.1 " + status + " " + reason
        + "\r\nContent-Type: text/plain\r\nContent-Length: " + (text.length() + 1)
        + "\r\nConnection: close\r\n\r\n" + text + "\n").message();
  }
}
