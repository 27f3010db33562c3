package beampoint.http;

import java.io.IOException;

/** The bytes received are not HTTP/1.1 as this proxy supports it. */
final class HttpException extends IOException {

  private static final long serialVersionUID = 1L;

  HttpException(String message) {
    super(message);
  }
}
