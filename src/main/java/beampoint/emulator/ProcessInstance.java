package beampoint.emulator;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.Result;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** A proxy that is a process: its clients, what it sends to cache nodes and origin, and its discovery. */
final class ProcessInstance extends Instance {

  private final ProcessFleet fleet;
  private final ProxyProcess process;
  private final Listener discovery;
  private final List<Socket> watches = new CopyOnWriteArrayList<>();
  private final Set<Socket> answered = new HashSet<>(); // of these, by discovery
  private final Map<ClientRequest.Try, Open> open = new HashMap<>();
  private final List<Attempt> out = new ArrayList<>();
  private long sequence = 1;
  private int life;

  /** A request that it has taken. */
  private static final class Open {
    private final List<CacheNode> missedAt = new ArrayList<>();
    private int attempts;
    private ClientCall call;
  }

  ProcessInstance(World world, int number, int zone, ProcessFleet fleet) throws IOException {
    super(world, number, zone);
    this.fleet = fleet;
    this.discovery = new Listener(this::watch);
    this.process = new ProxyProcess(fleet, "n" + number);
  }

  private void watch(Socket socket, InputStream in) throws IOException {
    for (String line = Listener.line(in); line != null && !line.isEmpty(); line = Listener.line(in)) {
      // the head; whatever it asks for is the whole list first
    }
    fleet.clock().post(() -> {
      watches.add(socket);
      if (!world.discovery.isDown()) {
        answer(socket, world.discovery.list());
      }
    });
    while (in.read() >= 0) {
      // nothing more is asked on it
    }
    fleet.clock().post(() -> {
      watches.remove(socket);
      answered.remove(socket);
    });
  }

  private void answer(Socket socket, List<Endpoint> endpoints) {
    Listener.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    answered.add(socket);
    note(endpoints, LATE);
    write(socket, true, endpoints);
  }

  private void write(Socket socket, boolean whole, List<Endpoint> endpoints) {
    String line = fleet.list(++sequence, whole, endpoints).toString() + "\n";
    Listener.write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
  }

  /** Sends an empty line to each watch, as discovery does now and then: one that is silent counts as dead. */
  void breathe() {
    if (!world.discovery.isDown()) {
      answered.forEach(socket -> Listener.write(socket, "1\r\n\n\r\n"));
    }
  }

  @Override
  void start(List<Endpoint> remembered) {
    int now = ++life;
    JsonObject config = fleet.config(this, now, discovery.address(), remembered);
    process.start(config, () -> fleet.clock().post(() -> {
      if (now == life) {
        up();
      }
    }));
  }

  boolean hasFailed() {
    return process.hasFailed();
  }

  @Override
  void kill() {
    life++;
    down();
    process.kill();
    watches.clear();
    answered.clear();
  }

  @Override
  void told(ListKind kind, List<Endpoint> endpoints) {
    note(endpoints, LATE);
    for (Socket socket : watches) {
      if (answered.contains(socket)) {
        write(socket, kind == ListKind.FULL, endpoints);
      } else {
        answer(socket, world.discovery.list());
      }
    }
  }

  // ---- Clients --------------------------------------------------------------------------------------------

  @Override
  void take(ClientRequest.Try clientTry) {
    Open taken = new Open();
    open.put(clientTry, taken);
    fleet.register(clientTry, this);
    int ofLife = life;
    taken.call = process.call(clientTry, world.scenario, world.clock.now(), fleet.wireId(clientTry),
        (outcome, advice) -> fleet.clock().post(() -> ended(clientTry, outcome, advice, ofLife)));
    world.clock.at(clientTry.notAfter + LATE, () -> {
      if (!clientTry.over && ofLife == life && isUp()) {
        world.report.broken(world.clock.now(), "a request was lost: no answer in time");
      }
    });
  }

  /** A connection that ended with no answer lost its request, unless its process was killed, or was dying. */
  private void ended(ClientRequest.Try clientTry, ClientRequest.Outcome outcome, double advice, int ofLife) {
    forget(clientTry);
    if (!clientTry.over) {
      if (outcome == ClientRequest.Outcome.LOST && ofLife == life && isUp()) {
        world.report.broken(world.clock.now(), "a request was lost: its connection ended without an answer");
      }
      world.front.answered(clientTry, outcome, advice);
    }
  }

  private void forget(ClientRequest.Try clientTry) {
    open.remove(clientTry);
    fleet.forget(clientTry);
  }

  @Override
  void left(ClientRequest.Try clientTry) {
    Open taken = open.get(clientTry);
    clientTry.over = true;
    if (taken != null) {
      taken.call.leave();
      forget(clientTry);
    }
  }

  @Override
  List<CacheNode> missedAt(ClientRequest.Try clientTry) {
    Open taken = open.get(clientTry);
    return taken == null ? List.of() : taken.missedAt;
  }

  // ---- What it sends --------------------------------------------------------------------------------------

  /** An attempt of it has come whole at a cache node or, without one, at the origin. */
  Attempt came(ClientRequest.Try clientTry, CacheNode node) {
    Open taken = open.get(clientTry);
    double now = world.clock.now();
    Attempt attempt = new Attempt(this, clientTry, taken == null ? 0 : taken.attempts++, node, now);
    world.report.attempt(attempt.number);
    if (node != null) {
      checkGrace(node.id);
    }
    out.add(attempt);
    return attempt;
  }

  @Override
  void answered(Attempt attempt, Result result) {
    out.remove(attempt);
    world.report.ended(result);
    Open taken = open.get(attempt.clientTry);
    if (result == Result.MISS && taken != null) {
      taken.missedAt.add(attempt.node);
    }
    world.clock.after(way(attempt.node), () -> attempt.ended.accept(result));
  }

  /** Its connection ended before the answer. */
  void gaveUp(Attempt attempt) {
    if (!attempt.over && out.remove(attempt)) {
      attempt.giveUp();
      world.report.ended(Result.TIMEOUT);
    }
  }

  @Override
  void lost(CacheNode node) {
    fleet.reset(node);
    List.copyOf(out).stream().filter(attempt -> attempt.node == node).forEach(attempt -> {
      out.remove(attempt);
      attempt.giveUp();
      world.report.ended(Result.RESET);
    });
  }

  void close() throws IOException {
    process.end();
    discovery.close();
  }
}
