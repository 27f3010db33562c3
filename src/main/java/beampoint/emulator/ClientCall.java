package beampoint.emulator;

import beampoint.Balancer.Idempotency;
import beampoint.emulator.ClientRequest.Outcome;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Locale;

/** One request of a client on a connection to a proxy, by the meta commands. */
final class ClientCall {

  /** How it ended, and the advice where it was refused. */
  interface Told {
    void ended(Outcome outcome, double advice);
  }

  private final String words;
  private final String id;
  private final Told told;
  private Socket socket;
  private boolean over;

  ClientCall(String words, String id, Told told) {
    this.words = words;
    this.id = id;
    this.told = told;
  }

  /** What a client writes for a try. */
  static String words(ClientRequest.Try clientTry, Scenario scenario, double now, String id) {
    ClientRequest request = clientTry.request;
    long wait = Math.max(1, (long) (clientTry.notAfter - now));
    String tenant = scenario.tenants().get(request.tenant).name();
    String list = " Pc=" + request.kind.name() + ",t=" + tenant + ",d=" + wait;
    String key = String.format(Locale.ROOT, "%016x", request.key);
    if (!request.kind.write()) {
      return "mg " + key + " v " + id + list + "\r\n";
    }
    String once = request.kind.rules().idempotency() == Idempotency.KEYED ? ",k=" + id.substring(1) : "";
    return "ms " + key + " 5 " + id + list + once + "\r\nvalue\r\n";
  }

  /** Asks on this connection; false where it ended before an answer began. */
  boolean play(Socket on) {
    synchronized (this) {
      if (over) {
        return true;
      }
      socket = on;
    }
    try {
      Listener.write(on, words);
      InputStream in = on.getInputStream();
      String line = Listener.line(in);
      if (line == null) {
        ProxyProcess.close(on);
        return false;
      }
      read(line, in);
      return !on.isClosed();
    } catch (IOException e) {
      ProxyProcess.close(on);
      return false;
    }
  }

  private void read(String line, InputStream in) throws IOException {
    String[] words = line.split(" ");
    if (words[0].equals("VA") && words.length > 2) {
      String value = ProxyProcess.bytes(in, Integer.parseInt(words[1]) + 2);
      end(words[2].equals(id) && value.startsWith(id) ? Outcome.SERVED : Outcome.LOST, 0);
    } else if (words[0].equals("HD") && words.length > 1) {
      end(words[1].equals(id) ? Outcome.SERVED : Outcome.LOST, 0);
    } else if (line.startsWith("SERVER_ERROR busy")) {
      end(Outcome.REFUSED, words.length > 2 ? Double.parseDouble(words[2]) : 0);
    } else {
      end(Outcome.FAILED, 0);
    }
  }

  synchronized void end(Outcome outcome, double advice) {
    if (!over) {
      over = true;
      told.ended(outcome, advice);
    }
  }

  /** The client leaves: its connection is closed. */
  synchronized void leave() {
    over = true;
    if (socket != null) {
      ProxyProcess.close(socket);
    }
  }
}
