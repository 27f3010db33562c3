package beampoint.http;

import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.BuffersBuffer;
import org.glassfish.grizzly.memory.MemoryManager;

/** Writes requests: a head of texts and slices, and the body handed on as it lies. */
public final class HttpWriter {

  private final MemoryManager<?> memory;

  public HttpWriter(MemoryManager<?> memory) {
    this.memory = memory;
  }

  /** A request without a body. */
  public Buffer get(String path, String host) {
    return wrap("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
  }

  /** The request of a client, with its id and its list of names and values; a write has a body. */
  public Buffer request(String host, Buffer key, Buffer id, Buffer list, Buffer body) {
    BuffersBuffer out = BuffersBuffer.create(memory);
    out.append(wrap(body == null ? "GET /" : "PUT /"));
    out.append(share(key));
    out.append(wrap(" HTTP/1.1\r\nHost: " + host + "\r\nReq-Id: "));
    out.append(share(id));
    out.append(wrap("\r\nReq-Extra: "));
    out.append(share(list));
    out.append(wrap(body == null ? "\r\n\r\n" : "\r\nContent-Length: " + body.remaining() + "\r\n\r\n"));
    if (body != null && body.hasRemaining()) {
      out.append(share(body));
    }
    return out;
  }

  private Buffer wrap(String text) {
    return Buffers.wrap(memory, text.getBytes(StandardCharsets.ISO_8859_1));
  }

  private static Buffer share(Buffer buffer) {
    return buffer.slice(buffer.position(), buffer.limit());
  }
}
