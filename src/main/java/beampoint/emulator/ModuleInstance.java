package beampoint.emulator;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.Event;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.ProbeEnded;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Settings;
import beampoint.Balancer.TimerFired;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

/** A proxy in virtual time: an instance of the decision module, its requests and its connections. */
final class ModuleInstance extends Instance {

  /** A request that has not ended, as the proxy holds it. */
  private static final class OpenRequest {
    private final long id;
    private final ClientRequest.Try clientTry;
    private final List<CacheNode> missedNodes = new ArrayList<>();
    private int attempts;
    private Attempt inFlight;

    private OpenRequest(long id, ClientRequest.Try clientTry) {
      this.id = id;
      this.clientTry = clientTry;
    }
  }

  /** An idle connection to a cache node, with the node's incarnation when it was opened. */
  private record IdleConnection(int incarnation, double since) {}

  private final Function<Settings, Balancer> factory;
  private Balancer balancer;
  private int incarnation; // number of process starts; tasks of one process do not run in the next
  private long lastId;
  private final Map<Long, OpenRequest> openRequests = new HashMap<>();
  private final Map<ClientRequest.Try, OpenRequest> requestsByTry = new HashMap<>();
  private final Map<String, Deque<IdleConnection>> idleConnections = new TreeMap<>();

  ModuleInstance(World world, int number, int zone, Function<Settings, Balancer> factory) {
    super(world, number, zone);
    this.factory = factory;
  }

  @Override
  void start(List<Endpoint> remembered) {
    markUp();
    incarnation++;
    balancer = factory.apply(world.settings(this, incarnation));
    handle(new ListReceived(ListKind.UNCONFIRMED, remembered));
  }

  @Override
  void kill() {
    markDown();
    incarnation++;
    for (OpenRequest each : List.copyOf(openRequests.values())) {
      if (each.inFlight != null) {
        close(each.inFlight);
        each.inFlight.cancel();
      }
      world.loadGenerator.answered(each.clientTry, ClientRequest.Outcome.FAILED, 0);
    }
    idleConnections
        .forEach((id, connections) -> connections.forEach(connection -> disconnect(id, connection)));
    idleConnections.clear();
    openRequests.clear();
    requestsByTry.clear();
  }

  // ---- Events and actions of the module -------------------------------------------------------------------

  @Override
  void receiveList(ListKind kind, List<Endpoint> endpoints) {
    recordList(endpoints, 0);
    if (!isUp()) {
      return;
    }
    handle(new ListReceived(kind, endpoints));
  }

  @Override
  void receive(ClientRequest.Try clientTry) {
    if (!isUp()) {
      world.loadGenerator.answered(clientTry, ClientRequest.Outcome.FAILED, 0);
      return;
    }
    long id = ++lastId;
    OpenRequest open = new OpenRequest(id, clientTry);
    openRequests.put(id, open);
    requestsByTry.put(clientTry, open);
    scheduleWhileUp(clientTry.deadline + ANSWER_TOLERANCE_MS - world.clock.now(), () -> {
      if (!clientTry.finished) {
        world.report.recordBrokenRule(world.clock.now(), "a request was lost: no answer in time");
        answerClient(id, ClientRequest.Outcome.LOST, 0);
      }
    });
    ClientRequest request = clientTry.request;
    handle(new RequestReceived(id, clientTry.deadline, request.tenant, request.classNumber, request.key,
        request.loadClass.write()));
  }

  @Override
  void clientGone(ClientRequest.Try clientTry) {
    OpenRequest open = requestsByTry.get(clientTry);
    if (open != null && !clientTry.finished) {
      clientTry.finished = true;
      removeIfDone(open.id, open);
      handle(new RequestGone(open.id));
    }
  }

  private void handle(Event event) {
    world.report.recordDecision();
    for (Action action : balancer.handle(world.clock.now(), event)) {
      carryOut(action);
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Balancer.Send a) {
      send(a);
    } else if (action instanceof Balancer.Refuse a) {
      answerClient(a.id(), ClientRequest.Outcome.REFUSED, a.retryAfter());
    } else if (action instanceof Balancer.Fail a) {
      answerClient(a.id(), ClientRequest.Outcome.FAILED, 0);
    } else if (action instanceof Balancer.Cancel a) {
      OpenRequest open = openRequests.get(a.id());
      if (open != null && open.inFlight != null && open.inFlight.number == a.attempt()) {
        Attempt attempt = open.inFlight;
        scheduleWhileUp(0, () -> endAttempt(a.id(), attempt, Result.CANCELLED));
      }
    } else if (action instanceof Balancer.SetTimer a) {
      scheduleWhileUp(a.delay(), () -> handle(new TimerFired(a.token())));
    } else if (action instanceof Balancer.Probe a) {
      probe(a.endpoint());
    } else if (action instanceof Balancer.CloseIdle a) {
      Deque<IdleConnection> connections = idleConnections.remove(a.endpoint());
      if (connections != null) {
        connections.forEach(connection -> disconnect(a.endpoint(), connection));
      }
    } else if (action instanceof Balancer.SubscribeToList) {
      world.discovery.subscribe(this);
    }
  }

  /** Runs a task after a delay, unless this process has ended by then. */
  private void scheduleWhileUp(double delay, Runnable task) {
    int ofIncarnation = incarnation;
    world.clock.after(delay, () -> {
      if (ofIncarnation == incarnation && isUp()) {
        task.run();
      }
    });
  }

  private void answerClient(long id, ClientRequest.Outcome outcome, double advice) {
    OpenRequest open = openRequests.get(id);
    if (open != null && !open.clientTry.finished) {
      open.clientTry.finished = true;
      world.loadGenerator.answered(open.clientTry, outcome, advice);
      removeIfDone(id, open);
    }
  }

  private void removeIfDone(long id, OpenRequest open) {
    if (open.clientTry.finished && open.inFlight == null) {
      openRequests.remove(id);
      requestsByTry.remove(open.clientTry);
    }
  }

  @Override
  List<CacheNode> missedNodes(ClientRequest.Try clientTry) {
    OpenRequest open = requestsByTry.get(clientTry);
    return open == null ? List.of() : open.missedNodes;
  }

  // ---- Attempts -------------------------------------------------------------------------------------------

  private void send(Balancer.Send a) {
    OpenRequest open = openRequests.get(a.id());
    double now = world.clock.now();
    if (open == null) {
      return;
    }
    CacheNode node = world.cache(a.endpoint());
    Attempt attempt = new Attempt(this, open.clientTry, open.attempts++, node, now);
    open.inFlight = attempt;
    world.report.recordAttempt(attempt.number);
    checkDrainGrace(a.endpoint());
    double deadline = open.clientTry.deadline;
    double attemptDeadline = a.timeout() > 0 ? Math.min(deadline, now + a.timeout()) : deadline;
    if (open.clientTry.finished || now >= attemptDeadline
        || attempt.number >= world.scenario.limits().maxAttempts()) {
      scheduleWhileUp(0, () -> endAttempt(a.id(), attempt, Result.NOT_SENT));
      return;
    }
    scheduleWhileUp(attemptDeadline - now, () -> endAttempt(a.id(), attempt, Result.TIMEOUT));
    attempt.onResult = result -> endAttempt(a.id(), attempt, result);
    if (a.endpoint().equals(OriginServer.ID)) {
      scheduleWhileUp(world.scenario.delay(),
          () -> unlessFinished(attempt, () -> world.origin.receive(attempt)));
    } else if (node == null) {
      scheduleWhileUp(oneWayDelay(null), () -> endAttempt(a.id(), attempt, Result.CONNECT_FAILED));
    } else {
      connect(a.id(), attempt);
    }
  }

  private static void unlessFinished(Attempt attempt, Runnable task) {
    if (!attempt.finished) {
      task.run();
    }
  }

  private void connect(long id, Attempt attempt) {
    CacheNode node = attempt.node;
    IdleConnection connection = takeIdleConnection(node);
    if (connection != null) {
      attempt.nodeIncarnation = connection.incarnation();
      attempt.connected = true;
      scheduleWhileUp(oneWayDelay(node), () -> unlessFinished(attempt, () -> node.receive(attempt, false)));
      return;
    }
    scheduleWhileUp(oneWayDelay(node), () -> unlessFinished(attempt, () -> {
      Result connectResult = node.connect();
      if (connectResult == Result.OK) {
        attempt.nodeIncarnation = node.incarnation;
        attempt.connected = true;
        world.report.recordHandshake();
        scheduleWhileUp(2 * oneWayDelay(node),
            () -> unlessFinished(attempt, () -> node.receive(attempt, true)));
      } else {
        double wait = connectResult == Result.TIMEOUT ? world.scenario.limits().connectTimeout()
            : oneWayDelay(node);
        scheduleWhileUp(wait, () -> endAttempt(id, attempt, Result.CONNECT_FAILED));
      }
    }));
  }

  /**
   * Takes the most recently used idle connection; closes those that were idle too long or whose process
   * ended.
   */
  private IdleConnection takeIdleConnection(CacheNode node) {
    Deque<IdleConnection> connections = idleConnections.getOrDefault(node.id, new ArrayDeque<>());
    for (IdleConnection connection = connections.pollLast(); connection != null; connection =
        connections.pollLast()) {
      if (connection.incarnation() == node.incarnation
          && world.clock.now() < connection.since() + world.scenario.caches().idle()) {
        return connection;
      }
      disconnect(node.id, connection);
    }
    return null;
  }

  private void disconnect(String id, IdleConnection connection) {
    CacheNode node = world.cache(id);
    if (node != null) {
      node.disconnect(connection.incarnation());
    }
  }

  private void close(Attempt attempt) {
    if (attempt.node != null && attempt.connected) {
      attempt.node.disconnect(attempt.nodeIncarnation);
    }
  }

  @Override
  void attemptAnswered(Attempt attempt, Result result) {
    scheduleWhileUp(oneWayDelay(attempt.node), () -> attempt.onResult.accept(result));
  }

  @Override
  void nodeDied(CacheNode node) {
    for (Map.Entry<Long, OpenRequest> entry : List.copyOf(openRequests.entrySet())) {
      Attempt attempt = entry.getValue().inFlight;
      if (attempt != null && attempt.node == node) {
        Result result = attempt.connected ? Result.RESET : Result.CONNECT_FAILED;
        scheduleWhileUp(oneWayDelay(node), () -> endAttempt(entry.getKey(), attempt, result));
      }
    }
  }

  private void endAttempt(long id, Attempt attempt, Result result) {
    OpenRequest open = openRequests.get(id);
    if (attempt.finished || open == null || open.inFlight != attempt) {
      return;
    }
    attempt.cancel();
    open.inFlight = null;
    boolean reusable = result == Result.OK || result == Result.MISS || result == Result.FULL
        || result == Result.ERROR;
    if (reusable && attempt.node != null && attempt.connected) {
      idleConnections.computeIfAbsent(attempt.node.id, key -> new ArrayDeque<>())
          .addLast(new IdleConnection(attempt.nodeIncarnation, world.clock.now()));
    } else {
      close(attempt);
    }
    world.report.recordResult(result);
    if (result == Result.MISS) {
      open.missedNodes.add(attempt.node);
    }
    if (result == Result.OK) {
      answerClient(id, ClientRequest.Outcome.SERVED, 0);
    }
    boolean done = open.clientTry.finished;
    removeIfDone(id, open);
    String endpoint = attempt.node == null ? OriginServer.ID : attempt.node.id;
    handle(new AttemptEnded(id, attempt.number, endpoint, world.clock.now() - attempt.sentAt, result, done));
  }

  private void probe(String endpoint) {
    world.report.recordProbe();
    CacheNode node = world.cache(endpoint);
    double connectTimeout = world.scenario.limits().connectTimeout();
    boolean silent = node != null && node.silent;
    boolean fails = node == null || node.dead || node.refusesConnections;
    Result result = silent ? Result.TIMEOUT : fails ? Result.CONNECT_FAILED : Result.OK;
    double time = silent ? 2 * connectTimeout : 2 * oneWayDelay(node);
    scheduleWhileUp(time, () -> handle(new ProbeEnded(endpoint, result, time)));
  }
}
