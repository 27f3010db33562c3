package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Stub;
import java.io.IOException;
import java.net.BindException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against two concurrent runs getting the same port. */
@Timeout(30)
class ReservedPortTest {

  private static final int PORTS = 300;

  private static InetSocketAddress address(ReservedPort port) {
    return new InetSocketAddress("127.0.0.1", port.number());
  }

  @Test
  void noOtherListenerOrClientGetsAReservedPort() throws IOException {
    try (ReservedPort port = new ReservedPort(); ServerSocketChannel other = ServerSocketChannel.open()) {
      assertThrows(BindException.class, () -> other.bind(address(port)));
    }
    List<ReservedPort> reserved = new ArrayList<>();
    Set<Integer> numbers = new HashSet<>();
    for (int i = 0; i < PORTS; i++) {
      reserved.add(new ReservedPort());
      numbers.add(reserved.get(i).number());
    }
    assertEquals(PORTS, numbers.size(), "distinct reserved ports");
    for (int i = 0; i < 20 * PORTS; i++) {
      String free = Stub.nobody();
      assertTrue(!numbers.contains(Integer.parseInt(free.substring(free.indexOf(':') + 1))),
          free + " is reserved");
    }
    for (ReservedPort port : reserved) {
      port.close();
    }
  }

  @Test
  void aListenerWithAddressReuseAcceptsTheClientsOfAReservedPort() throws IOException {
    try (ReservedPort port = new ReservedPort()) {
      for (int start = 0; start < 2; start++) { // the second time as after a restart
        try (ServerSocketChannel listener = ServerSocketChannel.open()) {
          listener.setOption(StandardSocketOptions.SO_REUSEPORT, true);
          listener.bind(address(port));
          try (Socket client = new Socket("127.0.0.1", port.number());
              var accepted = listener.accept()) {
            assertEquals(client.getLocalSocketAddress(), accepted.getRemoteAddress());
          }
        }
      }
    }
  }
}
