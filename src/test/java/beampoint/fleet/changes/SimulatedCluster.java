package beampoint.fleet.changes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.LogAction.Answer;
import beampoint.fleet.changes.LogAction.Deliver;
import beampoint.fleet.changes.LogAction.Install;
import beampoint.fleet.changes.LogAction.Problem;
import beampoint.fleet.changes.LogAction.RelinquishLease;
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
 * Simulates control machines, the network between them and submitters in virtual time, reproducibly from a
 * seed. The invariants are checked at every event.
 */
final class SimulatedCluster {

  static final double LEASE_MS = 1_200;
  private static final ChangeCodec CODEC = new ChangeCodec("simulated");
  private static final double TICK_MS = 10;
  private static final double MAX_CLOCK_DRIFT = 0.01;
  private static final double SUBMIT_RETRY_MS = 300;

  /** A scheduled event. */
  private record Event(double at, long order, Runnable action) {}

  /** A control machine and the log position up to which it has delivered entries. */
  private static final class Machine {
    private ControlNode node;
    private int starts;
    private boolean up = true;
    private double pausedUntil;
    private double clockRate;
    private Epoch foundingEpoch = Epoch.NONE;
    private long delivered;
  }

  /** A change that is not yet known to be committed, and when it was first submitted. */
  private static final class Pending {
    private Change change;
    private double submittedAt;
    private boolean followsHint;
    private boolean done;
  }

  final LogSettings settings;
  final List<String> names = new ArrayList<>();
  final SortedMap<Long, ChangeEntry> committedLog = new TreeMap<>();
  final List<Double> latencies = new ArrayList<>();
  final Map<SubmitOutcome.Reason, Integer> refusals = new HashMap<>();
  final List<Problem> problems = new ArrayList<>();
  double lossRate;
  double duplicationRate;
  double now;
  int messages;
  long bytes;
  int elections;
  Epoch logIdentity = Epoch.NONE;
  private final LeaseSettings leaseSettings;
  private final Map<String, Machine> machines = new HashMap<>();
  private final Map<ChangeId, Pending> pending = new HashMap<>();
  private final Set<Set<String>> partitions = new HashSet<>();
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
    settings = new LogSettings(all, 400, limits);
    leaseSettings = new LeaseSettings(all, LEASE_MS, 2 * MAX_CLOCK_DRIFT);
    for (String name : names) {
      Machine machine = new Machine();
      machine.clockRate = 1 + MAX_CLOCK_DRIFT * random.nextDouble();
      machines.put(name, machine);
      start(name, ReplicaState.started(1));
      at(random.nextDouble() * TICK_MS, () -> tick(name));
    }
  }

  private void at(double time, Runnable action) {
    events.add(new Event(time, order++, action));
  }

  /** Runs all events up to a time. */
  void runTo(double time) {
    while (!events.isEmpty() && events.peek().at <= time) {
      Event event = events.remove();
      now = event.at;
      event.action.run();
    }
    now = time;
  }

  private double clock(Machine machine) {
    return now * machine.clockRate;
  }

  private void start(String name, ReplicaState initialState) {
    Machine machine = machines.get(name);
    machine.starts++;
    machine.up = true;
    machine.node = new ControlNode(settings, leaseSettings, name, machine.starts, initialState,
        clock(machine), new Random(random.nextLong()));
  }

  private void tick(String name) {
    Machine machine = machines.get(name);
    if (machine.up && now >= machine.pausedUntil) {
      perform(name, machine.node.tick(clock(machine)));
      check(machine.node.state());
    }
    at(now + TICK_MS, () -> tick(name));
  }

  private void perform(String name, List<LogAction> actions) {
    Machine machine = machines.get(name);
    for (LogAction action : actions) {
      if (action instanceof Send send) {
        send(name, send);
      } else if (action instanceof Answer answer) {
        answered(answer);
      } else if (action instanceof Install install) {
        machine.foundingEpoch = install.foundingEpoch();
        machine.delivered = install.snapshot().index();
        install.snapshot().entries().forEach(this::assertMatchesCommitted);
      } else if (action instanceof Deliver deliver) {
        deliver(machine, deliver);
      } else if (action instanceof RelinquishLease relinquish) {
        assertTrue(relinquish.problem() != Problem.CONTRADICTION, "a contradiction at " + name);
        problems.add(relinquish.problem());
      }
    }
    if (machine.node.leads(clock(machine)) && !name.equals(leader)) {
      leader = name;
      elections++;
    }
  }

  private void deliver(Machine machine, Deliver deliver) {
    boolean leads = machine.node.state().leads();
    machine.foundingEpoch = deliver.foundingEpoch();
    logIdentity = leads ? deliver.foundingEpoch() : logIdentity;
    for (ChangeEntry entry : deliver.entries()) {
      assertEquals(machine.delivered + 1, entry.index(), "delivered without a gap");
      machine.delivered = entry.index();
      if (leads && committedLog.putIfAbsent(entry.index(), entry) == null) {
        assertNull(committedIds.put(entry.id(), entry.index()), "committed twice: " + entry.id());
      }
      if (deliver.foundingEpoch().equals(logIdentity)) {
        assertMatchesCommitted(entry);
      }
    }
  }

  private void assertMatchesCommitted(ChangeEntry entry) {
    assertEquals(committedLog.get(entry.index()), entry, "one entry under one index");
  }

  /** Sends a message in its encoded form, as on a socket. */
  private void send(String from, Send send) {
    byte[] encoded = CODEC.write(send.message());
    try {
      assertEquals(send.message(), CODEC.read(encoded));
    } catch (MalformedLogMessageException e) {
      throw new AssertionError("a message that can't be decoded: " + send.message(), e);
    }
    messages++;
    bytes += encoded.length;
    int copies = random.nextDouble() < duplicationRate ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      if (random.nextDouble() >= lossRate) {
        at(now + delay(from, send.to()), () -> arrive(from, send));
      }
    }
  }

  /** The delay of a message: 1 to 140 ms by the distance, plus up to a tenth of that and up to 3 ms. */
  private double delay(String from, String to) {
    double distance = 1 + Math.floorMod(from.hashCode() * 31L + to.hashCode() * 31L, 140);
    return distance * (1 + 0.1 * random.nextDouble()) + 3 * random.nextDouble();
  }

  private void arrive(String from, Send send) {
    Machine machine = machines.get(send.to());
    if (partitions.contains(Set.of(from, send.to())) || !machine.up) {
      return;
    }
    if (now < machine.pausedUntil) {
      at(machine.pausedUntil, () -> arrive(from, send));
      return;
    }
    perform(send.to(), machine.node.received(clock(machine), from, send.message()));
  }

  /** Checks the limits on memory. */
  private void check(ReplicaState state) {
    LogLimits limits = settings.limits();
    LogState log = state.log();
    assertTrue(log.tail().size() <= limits.entriesInFlight(), "in flight: " + log.tail().size());
    assertTrue(log.entries().size() <= 2 * limits.keptEntries() + limits.entriesInFlight());
    assertTrue(log.snapshot().entries().size() <= limits.keptPurges() + 1);
    assertTrue(!state.leads() || state.leadership().queue().size() <= limits.queuedChanges());
  }

  /** Submits a change to random machines until it is committed or finally rejected. */
  void submit(Change change) {
    Pending submission = new Pending();
    submission.change = change;
    submission.submittedAt = now;
    ChangeId id = new ChangeId("s" + submitted % 3, submitted++);
    pending.put(id, submission);
    offerUntilDone(id);
  }

  private void offerUntilDone(ChangeId id) {
    Pending submission = pending.get(id);
    if (!submission.done) {
      at(now + SUBMIT_RETRY_MS, () -> offerUntilDone(id));
      submission.followsHint = false;
      offer(id, names.get(random.nextInt(names.size())));
    }
  }

  private void offer(ChangeId id, String name) {
    Pending submission = pending.get(id);
    Machine machine = machines.get(name);
    if (!submission.done && machine.up && now >= machine.pausedUntil) {
      perform(name, machine.node.submit(clock(machine), id, submission.change));
    }
  }

  private void answered(Answer answer) {
    Pending submission = pending.get(answer.id());
    if (submission == null || submission.done) {
      return;
    }
    if (answer.outcome() instanceof Committed committed) {
      submission.done = true;
      latencies.add(now - submission.submittedAt);
      assertEquals(answer.id(), committedLog.get(committed.index()).id(), "the answer names the entry");
    } else if (answer.outcome() instanceof NotLeader notLeader && !submission.followsHint
        && !notLeader.leader().equals(Epoch.NONE)) {
      submission.followsHint = true;
      at(now + 2, () -> offer(answer.id(), notLeader.leader().holder()));
    } else if (answer.outcome() instanceof Refused refused) {
      refusals.merge(refused.reason(), 1, Integer::sum);
      submission.done = refused.reason() != SubmitOutcome.Reason.QUEUE_FULL;
    }
  }

  long pendingCount() {
    return pending.values().stream().filter(p -> !p.done).count();
  }

  void partition(String first, String second) {
    partitions.add(Set.of(first, second));
  }

  void heal() {
    partitions.clear();
    lossRate = 0;
    duplicationRate = 0;
    names.stream().filter(n -> !machines.get(n).up).forEach(n -> restart(n, false));
  }

  void pause(String name, double time) {
    machines.get(name).pausedUntil = now + time;
  }

  void stop(String name) {
    machines.get(name).up = false;
  }

  /** Restarts a machine with or without its log. */
  void restart(String name, boolean losesMemory) {
    Machine machine = machines.get(name);
    ReplicaState initialState = machine.node.state().restartedWithLog();
    if (losesMemory) {
      machine.delivered = 0;
      machine.foundingEpoch = Epoch.NONE;
      initialState = ReplicaState.started(machine.starts + 1);
    }
    start(name, initialState);
  }

  /** Clears the recorded log after its loss, as entries of a new log are not compared with it. */
  void clearCommittedLog() {
    committedLog.clear();
    committedIds.clear();
  }

  boolean isUp(String name) {
    return machines.get(name).up;
  }

  ReplicaState state(String name) {
    return machines.get(name).node.state();
  }

  void allowNewLog(String name) {
    Machine machine = machines.get(name);
    perform(name, machine.node.allowNewLog(clock(machine)));
  }

  /** The name of the leader, or null. */
  String leader() {
    return names.stream().filter(n -> isUp(n) && machines.get(n).node.leads(clock(machines.get(n))))
        .findFirst().orElse(null);
  }

  /** The problem that a machine reports to operators. */
  Optional<Problem> problem(String name) {
    return machines.get(name).node.problem();
  }

  /** The number of machines that have lost their memory and do not vote yet. */
  long nonVoters() {
    return names.stream().filter(n -> !state(n).log().voter()).count();
  }

  /** The lowest delivered index of the running machines. */
  long minDelivered() {
    return names.stream().filter(this::isUp).mapToLong(n -> machines.get(n).delivered).min().orElse(0);
  }
}
