package beampoint.http;

import java.io.IOException;

/** What came is not HTTP/1.1 as this proxy needs it. */
final class HttpException extends IOException {

  private static final long serialVersionUID = 1L;

  HttpException(String message) {
    super(message);
  }
}
