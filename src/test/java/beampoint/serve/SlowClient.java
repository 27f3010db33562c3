package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.serve.ProxyFixture.Client;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.CompletableFuture;

/** A client that reads a long value slowly and sends further requests meanwhile, as long as it can. */
final class SlowClient implements AutoCloseable {

  private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
  private static final int PIECES = 20;
  private static final int READS_PER_PIECE = 2;

  private final Client client;
  private int lastId;

  SlowClient(int port) throws IOException {
    client = new Client(port, RECEIVE_BUFFER_BYTES);
  }

  void send(String text) throws IOException {
    client.send(text);
  }

  String line() throws IOException {
    return client.line();
  }

  /** Reads so many bytes evenly over some ms on another thread; fails if the connection ends before. */
  CompletableFuture<Void> readWhileSending(int bytes, long durationMs) {
    return CompletableFuture.runAsync(() -> {
      int received = 0;
      try {
        for (int piece = 1; piece <= PIECES; piece++) {
          ProxyFixture.sleep(durationMs / PIECES);
          sendReads();
          int wanted = (int) ((long) bytes * piece / PIECES) - received;
          received += client.bytes(wanted).length();
        }
      } catch (IOException e) {
        throw new UncheckedIOException("after " + received + " bytes", e);
      }
      assertEquals(bytes, received, "bytes of the value before the end of the connection");
    });
  }

  private void sendReads() {
    try {
      for (int i = 0; i < READS_PER_PIECE; i++) {
        client.send(ProxyFixture.READ.replace("O9b", "O" + lastId++));
      }
    } catch (IOException e) {
      // the proxy reads no more from this connection
    }
  }

  @Override
  public void close() throws IOException {
    client.close();
  }
}
