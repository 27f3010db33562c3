package beampoint.emulator;

import beampoint.Balancer.Idempotency;
import beampoint.emulator.ClientRequest.Outcome;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.Locale;

/** A client's request on a connection to a proxy, in the memcached meta protocol. */
final class ClientCall {

  /** Is called once with the outcome and, for a refused request, the retry advice in ms (0 if none). */
  interface OutcomeListener {
    void ended(Outcome outcome, double advice);
  }

  private final String command;
  private final String id;
  private final OutcomeListener listener;
  private Socket socket;
  private boolean finished;

  ClientCall(String command, String id, OutcomeListener listener) {
    this.command = command;
    this.id = id;
    this.listener = listener;
  }

  /** Formats the command that a client sends for a try: mg for a read, ms for a write. */
  static String command(ClientRequest.Try clientTry, Scenario scenario, double now, String id) {
    ClientRequest request = clientTry.request;
    long timeout = Math.max(1, (long) (clientTry.deadline - now));
    String tenant = scenario.tenants().get(request.tenant).name();
    String attributes = " Pc=" + request.loadClass.name() + ",t=" + tenant + ",d=" + timeout;
    String key = String.format(Locale.ROOT, "%016x", request.key);
    if (!request.loadClass.write()) {
      return "mg " + key + " v " + id + attributes + "\r\n";
    }
    String idempotencyKey =
        request.loadClass.requestClass().idempotency() == Idempotency.KEYED ? ",k=" + id.substring(1) : "";
    return "ms " + key + " 5 " + id + attributes + idempotencyKey + "\r\nvalue\r\n";
  }

  /** Sends the command and reads the reply; false if the connection ended before a reply line came. */
  boolean execute(Socket connection) {
    synchronized (this) {
      if (finished) {
        return true;
      }
      socket = connection;
    }
    try {
      Listener.write(connection, command);
      InputStream in = connection.getInputStream();
      String line = Listener.readLine(in);
      if (line == null) {
        ProxyProcess.close(connection);
        return false;
      }
      readReply(line, in);
      return !connection.isClosed();
    } catch (IOException e) {
      ProxyProcess.close(connection);
      return false;
    }
  }

  private void readReply(String line, InputStream in) throws IOException {
    String[] fields = line.split(" ");
    if (fields[0].equals("VA") && fields.length > 2) {
      String value = ProxyProcess.readString(in, Integer.parseInt(fields[1]) + 2);
      finish(fields[2].equals(id) && value.startsWith(id) ? Outcome.SERVED : Outcome.LOST, 0);
    } else if (fields[0].equals("HD") && fields.length > 1) {
      finish(fields[1].equals(id) ? Outcome.SERVED : Outcome.LOST, 0);
    } else if (line.startsWith("SERVER_ERROR busy")) {
      finish(Outcome.REFUSED, fields.length > 2 ? Double.parseDouble(fields[2]) : 0);
    } else {
      finish(Outcome.FAILED, 0);
    }
  }

  synchronized void finish(Outcome outcome, double advice) {
    if (!finished) {
      finished = true;
      listener.ended(outcome, advice);
    }
  }

  /** Closes the connection, as a client does that stops waiting. */
  synchronized void abandon() {
    finished = true;
    if (socket != null) {
      ProxyProcess.close(socket);
    }
  }
}
