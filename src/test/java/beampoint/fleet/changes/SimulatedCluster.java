package beampoint.fleet.changes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.LogAction.Answer;
import beampoint.fleet.changes.LogAction.Deliver;
import beampoint.fleet.changes.LogAction.GiveUp;
import beampoint.fleet.changes.LogAction.Install;
import beampoint.fleet.changes.LogAction.Problem;
import beampoint.fleet.changes.LogAction.Send;
import beampoint.fleet.changes.SubmitOutcome.Committed;
import beampoint.fleet.changes.SubmitOutcome.NotLeader;
import beampoint.fleet.changes.SubmitOutcome.Refused;
import beampoint.fleet.facts.Epoch;
import beampoint.fleet.lease.LeaseSettings;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Control machines, the network between them and submitters in virtual time, from one seed. What must hold is
 * checked with every event.
 */
final class SimulatedCluster {

  static final double LEASE = 1_200;
  private static final ChangeCodec CODEC = new ChangeCodec("simulated");
  private static final double TICK = 10;
  private static final double DRIFT = 0.01;
  private static final double RETRY_OF_A_SUBMITTER = 300;

  /** What is still to happen. */
  private record Event(double at, long order, Runnable what) {}

  /** A control machine and what it has handed on to the distribution. */
  private static final class Machine {
    private ControlNode node;
    private int starts;
    private boolean up = true;
    private double pausedUntil;
    private double pace;
    private Epoch identity = Epoch.NONE;
    private long delivered;
  }

  /** A change on its way, and when it was first submitted. */
  private static final class Pending {
    private Change change;
    private double since;
    private boolean followsHint;
    private boolean done;
  }

  final LogSettings terms;
  final List<String> names = new ArrayList<>();
  final SortedMap<Long, ChangeEntry> ledger = new TreeMap<>();
  final List<Double> latencies = new ArrayList<>();
  final Map<SubmitOutcome.Reason, Integer> refusals = new HashMap<>();
  final List<Problem> problems = new ArrayList<>();
  double loss;
  double repeats;
  double now;
  int messages;
  long bytes;
  int elections;
  Epoch logIdentity = Epoch.NONE;
  private final LeaseSettings leaseTerms;
  private final Map<String, Machine> machines = new HashMap<>();
  private final Map<ChangeId, Pending> pending = new HashMap<>();
  private final Set<Set<String>> cuts = new HashSet<>();
  private final Map<ChangeId, Long> committedIds = new HashMap<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>(
      Comparator.comparingDouble(Event::at).thenComparingLong(Event::order));
  private final Random random;
  private String leader;
  private long order;
  private long submitted;

  SimulatedCluster(int voters, LogLimits limits, long seed) {
    random = new Random(seed);
    for (int i = 0; i < voters; i++) {
      names.add("c" + (i < 10 ? "0" : "") + i);
    }
    SortedSet<String> all = new TreeSet<>(names);
    terms = new LogSettings(all, 400, limits);
    leaseTerms = new LeaseSettings(all, LEASE, 2 * DRIFT);
    for (String name : names) {
      Machine machine = new Machine();
      machine.pace = 1 + DRIFT * random.nextDouble();
      machines.put(name, machine);
      start(name, ReplicaState.started(1));
      at(random.nextDouble() * TICK, () -> tick(name));
    }
  }

  private void at(double time, Runnable what) {
    events.add(new Event(time, order++, what));
  }

  /** Runs to a time. */
  void runTo(double time) {
    while (!events.isEmpty() && events.peek().at <= time) {
      Event event = events.remove();
      now = event.at;
      event.what.run();
    }
    now = time;
  }

  private double clock(Machine machine) {
    return now * machine.pace;
  }

  private void start(String name, ReplicaState kept) {
    Machine machine = machines.get(name);
    machine.starts++;
    machine.up = true;
    machine.node = new ControlNode(terms, leaseTerms, name, machine.starts, kept, clock(machine),
        new Random(random.nextLong()));
  }

  private void tick(String name) {
    Machine machine = machines.get(name);
    if (machine.up && now >= machine.pausedUntil) {
      done(name, machine.node.tick(clock(machine)));
      check(machine.node.state());
    }
    at(now + TICK, () -> tick(name));
  }

  private void done(String name, List<LogAction> actions) {
    Machine machine = machines.get(name);
    for (LogAction action : actions) {
      if (action instanceof Send send) {
        send(name, send);
      } else if (action instanceof Answer answer) {
        answered(answer);
      } else if (action instanceof Install install) {
        machine.identity = install.identity();
        machine.delivered = install.snapshot().index();
        install.snapshot().entries().forEach(this::isAsCommitted);
      } else if (action instanceof Deliver deliver) {
        deliver(machine, deliver);
      } else if (action instanceof GiveUp giveUp) {
        assertTrue(giveUp.problem() != Problem.CONTRADICTION, "a contradiction at " + name);
        problems.add(giveUp.problem());
      }
    }
    if (machine.node.leads(clock(machine)) && !name.equals(leader)) {
      leader = name;
      elections++;
    }
  }

  private void deliver(Machine machine, Deliver deliver) {
    boolean leads = machine.node.state().leads();
    machine.identity = deliver.identity();
    logIdentity = leads ? deliver.identity() : logIdentity;
    for (ChangeEntry entry : deliver.entries()) {
      assertEquals(machine.delivered + 1, entry.index(), "delivered without a gap");
      machine.delivered = entry.index();
      if (leads && ledger.putIfAbsent(entry.index(), entry) == null) {
        assertNull(committedIds.put(entry.id(), entry.index()), "committed twice: " + entry.id());
      }
      if (deliver.identity().equals(logIdentity)) {
        isAsCommitted(entry);
      }
    }
  }

  private void isAsCommitted(ChangeEntry entry) {
    assertEquals(ledger.get(entry.index()), entry, "one entry under one index");
  }

  /** Messages go through their form in bytes, as on a socket. */
  private void send(String from, Send send) {
    byte[] form = CODEC.write(send.message());
    try {
      assertEquals(send.message(), CODEC.read(form));
    } catch (MalformedChangeException e) {
      throw new AssertionError("a message that can't be read: " + send.message(), e);
    }
    messages++;
    bytes += form.length;
    int copies = random.nextDouble() < repeats ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= loss) {
        at(now + delay(from, send.to()), () -> arrive(from, send));
      }
    }
  }

  /** 1 to 140 ms by the distance of two machines, and up to a tenth of that and 3 ms more. */
  private double delay(String from, String to) {
    double distance = 1 + Math.floorMod(from.hashCode() * 31L + to.hashCode() * 31L, 140);
    return distance * (1 + 0.1 * random.nextDouble()) + 3 * random.nextDouble();
  }

  private void arrive(String from, Send send) {
    Machine machine = machines.get(send.to());
    if (cuts.contains(Set.of(from, send.to())) || !machine.up) {
      return;
    }
    if (now < machine.pausedUntil) {
      at(machine.pausedUntil, () -> arrive(from, send));
      return;
    }
    done(send.to(), machine.node.received(clock(machine), from, send.message()));
  }

  /** Bounds of memory. */
  private void check(ReplicaState state) {
    LogLimits limits = terms.limits();
    LogState log = state.log();
    assertTrue(log.tail().size() <= limits.entriesInFlight(), "in flight: " + log.tail().size());
    assertTrue(log.entries().size() <= 2 * limits.keptEntries() + limits.entriesInFlight());
    assertTrue(log.snapshot().entries().size() <= limits.keptPurges() + 1);
    assertTrue(!state.leads() || state.leadership().queue().size() <= limits.queuedChanges());
  }

  /** Submits a change at any machine, again and again until it is committed or refused for good. */
  void submit(Change change) {
    Pending one = new Pending();
    one.change = change;
    one.since = now;
    ChangeId id = new ChangeId("s" + submitted % 3, submitted++);
    pending.put(id, one);
    offerUntilDone(id);
  }

  private void offerUntilDone(ChangeId id) {
    Pending one = pending.get(id);
    if (!one.done) {
      at(now + RETRY_OF_A_SUBMITTER, () -> offerUntilDone(id));
      one.followsHint = false;
      offer(id, names.get(random.nextInt(names.size())));
    }
  }

  private void offer(ChangeId id, String name) {
    Pending one = pending.get(id);
    Machine machine = machines.get(name);
    if (!one.done && machine.up && now >= machine.pausedUntil) {
      done(name, machine.node.submit(clock(machine), id, one.change));
    }
  }

  private void answered(Answer answer) {
    Pending one = pending.get(answer.id());
    if (one == null || one.done) {
      return;
    }
    if (answer.outcome() instanceof Committed committed) {
      one.done = true;
      latencies.add(now - one.since);
      assertEquals(answer.id(), ledger.get(committed.index()).id(), "the answer names the entry");
    } else if (answer.outcome() instanceof NotLeader notLeader && !one.followsHint
        && !notLeader.leader().equals(Epoch.NONE)) {
      one.followsHint = true;
      at(now + 2, () -> offer(answer.id(), notLeader.leader().holder()));
    } else if (answer.outcome() instanceof Refused refused) {
      refusals.merge(refused.reason(), 1, Integer::sum);
      one.done = refused.reason() != SubmitOutcome.Reason.QUEUE_FULL;
    }
  }

  long open() {
    return pending.values().stream().filter(p -> !p.done).count();
  }

  void cut(String one, String other) {
    cuts.add(Set.of(one, other));
  }

  void heal() {
    cuts.clear();
    loss = 0;
    repeats = 0;
    names.stream().filter(n -> !machines.get(n).up).forEach(n -> restart(n, false));
  }

  void pause(String name, double time) {
    machines.get(name).pausedUntil = now + time;
  }

  void stop(String name) {
    machines.get(name).up = false;
  }

  /** A machine runs again, with its log or with nothing. */
  void restart(String name, boolean forgets) {
    Machine machine = machines.get(name);
    ReplicaState kept = machine.node.state().restartedWithLog();
    if (forgets) {
      machine.delivered = 0;
      machine.identity = Epoch.NONE;
      kept = ReplicaState.started(machine.starts + 1);
    }
    start(name, kept);
  }

  /** A new log begins, as the one before is lost: what was in it is no longer compared. */
  void forgetLedger() {
    ledger.clear();
    committedIds.clear();
  }

  boolean isUp(String name) {
    return machines.get(name).up;
  }

  ReplicaState state(String name) {
    return machines.get(name).node.state();
  }

  void foundAnew(String name) {
    Machine machine = machines.get(name);
    done(name, machine.node.foundAnew(clock(machine)));
  }

  /** The one that leads, or null. */
  String leader() {
    return names.stream().filter(n -> isUp(n) && machines.get(n).node.leads(clock(machines.get(n))))
        .findFirst().orElse(null);
  }

  /** What a machine would tell its operators. */
  Optional<Problem> problem(String name) {
    return machines.get(name).node.problem();
  }

  /** How many have lost their memory and do not vote yet. */
  long learners() {
    return names.stream().filter(n -> !state(n).log().voter()).count();
  }

  /** How far all machines are that run. */
  long slowest() {
    return names.stream().filter(this::isUp).mapToLong(n -> machines.get(n).delivered).min().orElse(0);
  }
}
