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

/**
 * A proxy that is a real process: its clients, its attempts at cache nodes and the origin, and its discovery.
 */
final class ProcessInstance extends Instance {

  private final ProcessFleet fleet;
  private final ProxyProcess process;
  private final Listener discovery;
  private final List<Socket> watches = new CopyOnWriteArrayList<>();
  private final Set<Socket> answeredWatches = new HashSet<>(); // watches that have got a response
  private final Map<ClientRequest.Try, OpenRequest> openRequests = new HashMap<>();
  private final List<Attempt> inFlight = new ArrayList<>();
  private long sequence = 1;
  private int incarnation;

  /** A request that has not ended, as the proxy holds it. */
  private static final class OpenRequest {
    private final List<CacheNode> missedNodes = new ArrayList<>();
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
    for (String line = Listener.readLine(in); line != null && !line.isEmpty(); line = Listener.readLine(in)) {
      // Skips the request head: each watch gets the full list first.
    }
    fleet.clock().post(() -> {
      watches.add(socket);
      if (!world.discovery.isDown()) {
        answerWatch(socket, world.discovery.list());
      }
    });
    while (in.read() >= 0) {
      // waits until the proxy closes the connection
    }
    fleet.clock().post(() -> {
      watches.remove(socket);
      answeredWatches.remove(socket);
    });
  }

  private void answerWatch(Socket socket, List<Endpoint> endpoints) {
    Listener.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    answeredWatches.add(socket);
    recordList(endpoints, ANSWER_TOLERANCE_MS);
    writeList(socket, true, endpoints);
  }

  private void writeList(Socket socket, boolean full, List<Endpoint> endpoints) {
    String line = fleet.list(++sequence, full, endpoints).toString() + "\n";
    Listener.write(socket, Integer.toHexString(line.length()) + "\r\n" + line + "\r\n");
  }

  /** Sends an empty line to each watch, as discovery does: a watch without traffic counts as broken. */
  void sendHeartbeat() {
    if (!world.discovery.isDown()) {
      answeredWatches.forEach(socket -> Listener.write(socket, "1\r\n\n\r\n"));
    }
  }

  @Override
  void start(List<Endpoint> remembered) {
    int startedIncarnation = ++incarnation;
    JsonObject config = fleet.config(this, startedIncarnation, discovery.address(), remembered);
    process.start(config, () -> fleet.clock().post(() -> {
      if (startedIncarnation == incarnation) {
        markUp();
      }
    }));
  }

  boolean hasUnexpectedExit() {
    return process.hasUnexpectedExit();
  }

  @Override
  void kill() {
    incarnation++;
    markDown();
    process.kill();
    watches.clear();
    answeredWatches.clear();
  }

  @Override
  void receiveList(ListKind kind, List<Endpoint> endpoints) {
    recordList(endpoints, ANSWER_TOLERANCE_MS);
    for (Socket socket : watches) {
      if (answeredWatches.contains(socket)) {
        writeList(socket, kind == ListKind.FULL, endpoints);
      } else {
        answerWatch(socket, world.discovery.list());
      }
    }
  }

  // ---- Clients --------------------------------------------------------------------------------------------

  @Override
  void receive(ClientRequest.Try clientTry) {
    OpenRequest request = new OpenRequest();
    openRequests.put(clientTry, request);
    fleet.register(clientTry, this);
    int ofIncarnation = incarnation;
    request.call = process.call(clientTry, world.scenario, world.clock.now(), fleet.wireId(clientTry),
        (outcome, advice) -> fleet.clock().post(() -> callEnded(clientTry, outcome, advice, ofIncarnation)));
    world.clock.at(clientTry.deadline + ANSWER_TOLERANCE_MS, () -> {
      if (!clientTry.finished && ofIncarnation == incarnation && isUp()) {
        world.report.recordBrokenRule(world.clock.now(), "a request was lost: no answer in time");
      }
    });
  }

  /**
   * Handles the outcome of a call. A connection that ended without an answer lost its request, which breaks a
   * rule unless the process was killed or is ending.
   */
  private void callEnded(ClientRequest.Try clientTry, ClientRequest.Outcome outcome, double advice,
      int ofIncarnation) {
    forget(clientTry);
    if (!clientTry.finished) {
      if (outcome == ClientRequest.Outcome.LOST && ofIncarnation == incarnation && isUp()) {
        world.report.recordBrokenRule(world.clock.now(),
            "a request was lost: its connection ended without an answer");
      }
      world.loadGenerator.answered(clientTry, outcome, advice);
    }
  }

  private void forget(ClientRequest.Try clientTry) {
    openRequests.remove(clientTry);
    fleet.forget(clientTry);
  }

  @Override
  void clientGone(ClientRequest.Try clientTry) {
    OpenRequest request = openRequests.get(clientTry);
    clientTry.finished = true;
    if (request != null) {
      request.call.abandon();
      forget(clientTry);
    }
  }

  @Override
  List<CacheNode> missedNodes(ClientRequest.Try clientTry) {
    OpenRequest request = openRequests.get(clientTry);
    return request == null ? List.of() : request.missedNodes;
  }

  // ---- Attempts -------------------------------------------------------------------------------------------

  /** Handles an attempt that a cache node, or the origin if {@code node} is null, has received completely. */
  Attempt attemptArrived(ClientRequest.Try clientTry, CacheNode node) {
    OpenRequest request = openRequests.get(clientTry);
    double now = world.clock.now();
    Attempt attempt = new Attempt(this, clientTry, request == null ? 0 : request.attempts++, node, now);
    world.report.recordAttempt(attempt.number);
    if (node != null) {
      checkDrainGrace(node.id);
    }
    inFlight.add(attempt);
    return attempt;
  }

  @Override
  void attemptAnswered(Attempt attempt, Result result) {
    inFlight.remove(attempt);
    world.report.recordResult(result);
    OpenRequest request = openRequests.get(attempt.clientTry);
    if (result == Result.MISS && request != null) {
      request.missedNodes.add(attempt.node);
    }
    world.clock.after(oneWayDelay(attempt.node), () -> attempt.onResult.accept(result));
  }

  /** Handles that the proxy closed an attempt's connection before the answer. */
  void connectionLost(Attempt attempt) {
    if (!attempt.finished && inFlight.remove(attempt)) {
      attempt.cancel();
      world.report.recordResult(Result.TIMEOUT);
    }
  }

  @Override
  void nodeDied(CacheNode node) {
    fleet.resetConnections(node);
    List.copyOf(inFlight).stream().filter(attempt -> attempt.node == node).forEach(attempt -> {
      inFlight.remove(attempt);
      attempt.cancel();
      world.report.recordResult(Result.RESET);
    });
  }

  void close() throws IOException {
    process.stop();
    discovery.close();
  }
}
