package beampoint;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;

/**
 * A listener on loopback that accepts no connection until it is opened: its backlog is full, and the system
 * drops further SYN packets, which clients repeat after a second. So a test decides when a connection that is
 * established late is established.
 */
public final class DelayedListener implements AutoCloseable {

  private static final int MAX_FILLERS = 64;

  private final ServerSocket server;
  private final List<Socket> fillers = new ArrayList<>();

  public DelayedListener() throws IOException {
    server = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    while (connectFiller()) {
      if (fillers.size() > MAX_FILLERS) {
        throw new IOException("the backlog is not full after " + MAX_FILLERS + " connections");
      }
    }
  }

  private boolean connectFiller() throws IOException {
    Socket filler = new Socket();
    try {
      filler.connect(new InetSocketAddress("127.0.0.1", server.getLocalPort()), 200);
      fillers.add(filler);
      return true;
    } catch (SocketTimeoutException e) {
      filler.close();
      return false;
    }
  }

  public String address() {
    return "127.0.0.1:" + server.getLocalPort();
  }

  /** Accepts the connections that filled the backlog, and returns the first one after them. */
  public Socket open() throws IOException {
    server.setSoTimeout(10_000);
    for (int i = 0; i < fillers.size(); i++) {
      server.accept().close();
    }
    Socket socket = server.accept();
    socket.setSoTimeout(300);
    return socket;
  }

  /** The next byte of a connection; -1 at its end, -2 where none came within its timeout. */
  public static int readByte(Socket socket) throws IOException {
    try {
      return socket.getInputStream().read();
    } catch (SocketTimeoutException e) {
      return -2;
    }
  }

  @Override
  public void close() throws IOException {
    server.close();
    for (Socket filler : fillers) {
      filler.close();
    }
  }
}
