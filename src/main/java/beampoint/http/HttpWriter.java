package beampoint.http;

import beampoint.buffer.MessageBuilder;
import beampoint.request.ParameterList;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** Writes requests, a head of texts and slices and the body handed on as it lies, and short answers. */
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

  /** The request of a client, with its id, its parameters and the time that is left; a write has a body. */
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

  /** An answer of one line, after which the connection ends. */
  public Buffer answer(int status, String reason, String text) {
    return new MessageBuilder(memory).text("HTTP/1.1 " + status + " " + reason
        + "\r\nContent-Type: text/plain\r\nContent-Length: " + (text.length() + 1)
        + "\r\nConnection: close\r\n\r\n" + text + "\n").message();
  }
}
