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

/** A proxy in virtual time: an instance of the decision module, its connections, and what it was told. */
final class ModuleInstance extends Instance {

  /** A request that it has taken. */
  private static final class Open {
    private final long id;
    private final ClientRequest.Try clientTry;
    private final List<CacheNode> missedAt = new ArrayList<>();
    private int attempts;
    private Attempt out;

    private Open(long id, ClientRequest.Try clientTry) {
      this.id = id;
      this.clientTry = clientTry;
    }
  }

  /** An idle connection. */
  private record Link(int life, double since) {}

  private final Function<Settings, Balancer> factory;
  private Balancer balancer;
  private int life; // processes so far; what was set in one does not reach the next
  private long lastId;
  private final Map<Long, Open> open = new HashMap<>();
  private final Map<ClientRequest.Try, Open> byTry = new HashMap<>();
  private final Map<String, Deque<Link>> idle = new TreeMap<>();

  ModuleInstance(World world, int number, int zone, Function<Settings, Balancer> factory) {
    super(world, number, zone);
    this.factory = factory;
  }

  @Override
  void start(List<Endpoint> remembered) {
    up();
    life++;
    balancer = factory.apply(world.settings(this, life));
    give(new ListReceived(ListKind.UNCONFIRMED, remembered));
  }

  @Override
  void kill() {
    down();
    life++;
    for (Open each : List.copyOf(open.values())) {
      if (each.out != null) {
        close(each.out);
        each.out.giveUp();
      }
      world.front.answered(each.clientTry, ClientRequest.Outcome.FAILED, 0);
    }
    idle.forEach((id, links) -> links.forEach(link -> disconnect(id, link)));
    idle.clear();
    open.clear();
    byTry.clear();
  }

  // ---- What it is told ------------------------------------------------------------------------------------

  @Override
  void told(ListKind kind, List<Endpoint> endpoints) {
    note(endpoints, 0);
    if (!isUp()) {
      return;
    }
    give(new ListReceived(kind, endpoints));
  }

  @Override
  void take(ClientRequest.Try clientTry) {
    if (!isUp()) {
      world.front.answered(clientTry, ClientRequest.Outcome.FAILED, 0);
      return;
    }
    long id = ++lastId;
    Open taken = new Open(id, clientTry);
    open.put(id, taken);
    byTry.put(clientTry, taken);
    inLife(clientTry.notAfter + LATE - world.clock.now(), () -> {
      if (!clientTry.over) {
        world.report.broken(world.clock.now(), "a request was lost: no answer in time");
        answer(id, ClientRequest.Outcome.LOST, 0);
      }
    });
    ClientRequest request = clientTry.request;
    give(new RequestReceived(id, clientTry.notAfter, request.tenant, request.kindNumber, request.key,
        request.kind.write()));
  }

  @Override
  void left(ClientRequest.Try clientTry) {
    Open taken = byTry.get(clientTry);
    if (taken != null && !clientTry.over) {
      clientTry.over = true;
      forget(taken.id, taken);
      give(new RequestGone(taken.id));
    }
  }

  private void give(Event event) {
    world.report.decision();
    for (Action action : balancer.handle(world.clock.now(), event)) {
      carryOut(action);
    }
  }

  private void carryOut(Action action) {
    if (action instanceof Balancer.Send a) {
      send(a);
    } else if (action instanceof Balancer.Refuse a) {
      answer(a.id(), ClientRequest.Outcome.REFUSED, a.retryAfter());
    } else if (action instanceof Balancer.Fail a) {
      answer(a.id(), ClientRequest.Outcome.FAILED, 0);
    } else if (action instanceof Balancer.Cancel a) {
      Open taken = open.get(a.id());
      if (taken != null && taken.out != null && taken.out.number == a.attempt()) {
        Attempt out = taken.out;
        inLife(0, () -> end(a.id(), out, Result.CANCELLED));
      }
    } else if (action instanceof Balancer.SetTimer a) {
      inLife(a.delay(), () -> give(new TimerFired(a.token())));
    } else if (action instanceof Balancer.Probe a) {
      probe(a.endpoint());
    } else if (action instanceof Balancer.CloseIdle a) {
      Deque<Link> links = idle.remove(a.endpoint());
      if (links != null) {
        links.forEach(link -> disconnect(a.endpoint(), link));
      }
    } else if (action instanceof Balancer.FollowList) {
      world.discovery.follow(this);
    }
  }

  /** Runs a task later, unless this process has ended by then. */
  private void inLife(double delay, Runnable task) {
    int ofLife = life;
    world.clock.after(delay, () -> {
      if (ofLife == life && isUp()) {
        task.run();
      }
    });
  }

  private void answer(long id, ClientRequest.Outcome outcome, double advice) {
    Open taken = open.get(id);
    if (taken != null && !taken.clientTry.over) {
      taken.clientTry.over = true;
      world.front.answered(taken.clientTry, outcome, advice);
      forget(id, taken);
    }
  }

  private void forget(long id, Open taken) {
    if (taken.clientTry.over && taken.out == null) {
      open.remove(id);
      byTry.remove(taken.clientTry);
    }
  }

  @Override
  List<CacheNode> missedAt(ClientRequest.Try clientTry) {
    Open taken = byTry.get(clientTry);
    return taken == null ? List.of() : taken.missedAt;
  }

  // ---- Attempts -------------------------------------------------------------------------------------------

  private void send(Balancer.Send a) {
    Open taken = open.get(a.id());
    double now = world.clock.now();
    if (taken == null) {
      return;
    }
    CacheNode node = world.cache(a.endpoint());
    Attempt attempt = new Attempt(this, taken.clientTry, taken.attempts++, node, now);
    taken.out = attempt;
    world.report.attempt(attempt.number);
    checkGrace(a.endpoint());
    double notAfter = taken.clientTry.notAfter;
    double last = a.timeout() > 0 ? Math.min(notAfter, now + a.timeout()) : notAfter;
    if (taken.clientTry.over || now >= last || attempt.number >= world.scenario.limits().maxAttempts()) {
      inLife(0, () -> end(a.id(), attempt, Result.NOT_SENT));
      return;
    }
    inLife(last - now, () -> end(a.id(), attempt, Result.TIMEOUT));
    attempt.ended = result -> end(a.id(), attempt, result);
    if (a.endpoint().equals(OriginServer.ID)) {
      inLife(world.scenario.delay(), () -> unlessOver(attempt, () -> world.origin.take(attempt)));
    } else if (node == null) {
      inLife(way(null), () -> end(a.id(), attempt, Result.CONNECT_FAILED));
    } else {
      connect(a.id(), attempt);
    }
  }

  private static void unlessOver(Attempt attempt, Runnable task) {
    if (!attempt.over) {
      task.run();
    }
  }

  private void connect(long id, Attempt attempt) {
    CacheNode node = attempt.node;
    Link link = idleLink(node);
    if (link != null) {
      attempt.life = link.life();
      attempt.connected = true;
      inLife(way(node), () -> unlessOver(attempt, () -> node.take(attempt, false)));
      return;
    }
    inLife(way(node), () -> unlessOver(attempt, () -> {
      Result made = node.connect();
      if (made == Result.OK) {
        attempt.life = node.life;
        attempt.connected = true;
        world.report.handshake();
        inLife(2 * way(node), () -> unlessOver(attempt, () -> node.take(attempt, true)));
      } else {
        double wait = made == Result.TIMEOUT ? world.scenario.limits().connectTimeout() : way(node);
        inLife(wait, () -> end(id, attempt, Result.CONNECT_FAILED));
      }
    }));
  }

  /** The idle connection that was used last; those whose process has ended, or that stood too long, go. */
  private Link idleLink(CacheNode node) {
    Deque<Link> links = idle.getOrDefault(node.id, new ArrayDeque<>());
    for (Link link = links.pollLast(); link != null; link = links.pollLast()) {
      if (link.life() == node.life && world.clock.now() < link.since() + world.scenario.caches().idle()) {
        return link;
      }
      disconnect(node.id, link);
    }
    return null;
  }

  private void disconnect(String id, Link link) {
    CacheNode node = world.cache(id);
    if (node != null) {
      node.disconnect(link.life());
    }
  }

  private void close(Attempt attempt) {
    if (attempt.node != null && attempt.connected) {
      attempt.node.disconnect(attempt.life);
    }
  }

  @Override
  void answered(Attempt attempt, Result result) {
    inLife(way(attempt.node), () -> attempt.ended.accept(result));
  }

  @Override
  void lost(CacheNode node) {
    for (Map.Entry<Long, Open> entry : List.copyOf(open.entrySet())) {
      Attempt out = entry.getValue().out;
      if (out != null && out.node == node) {
        Result result = out.connected ? Result.RESET : Result.CONNECT_FAILED;
        inLife(way(node), () -> end(entry.getKey(), out, result));
      }
    }
  }

  private void end(long id, Attempt attempt, Result result) {
    Open taken = open.get(id);
    if (attempt.over || taken == null || taken.out != attempt) {
      return;
    }
    attempt.giveUp();
    taken.out = null;
    boolean kept = result == Result.OK || result == Result.MISS || result == Result.FULL
        || result == Result.ERROR;
    if (kept && attempt.node != null && attempt.connected) {
      idle.computeIfAbsent(attempt.node.id, key -> new ArrayDeque<>())
          .addLast(new Link(attempt.life, world.clock.now()));
    } else {
      close(attempt);
    }
    world.report.ended(result);
    if (result == Result.MISS) {
      taken.missedAt.add(attempt.node);
    }
    if (result == Result.OK) {
      answer(id, ClientRequest.Outcome.SERVED, 0);
    }
    boolean done = taken.clientTry.over;
    forget(id, taken);
    String endpoint = attempt.node == null ? OriginServer.ID : attempt.node.id;
    give(new AttemptEnded(id, attempt.number, endpoint, world.clock.now() - attempt.sentAt, result, done));
  }

  private void probe(String endpoint) {
    world.report.probe();
    CacheNode node = world.cache(endpoint);
    double connect = world.scenario.limits().connectTimeout();
    boolean mute = node != null && node.silent;
    boolean fails = node == null || node.dead || node.refuses;
    Result result = mute ? Result.TIMEOUT : fails ? Result.CONNECT_FAILED : Result.OK;
    double time = mute ? 2 * connect : 2 * way(node);
    inLife(time, () -> give(new ProbeEnded(endpoint, result, time)));
  }
}
