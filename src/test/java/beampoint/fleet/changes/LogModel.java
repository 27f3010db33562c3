package beampoint.fleet.changes;

import beampoint.fleet.changes.LogAction.Deliver;
import beampoint.fleet.changes.LogAction.Install;
import beampoint.fleet.changes.LogAction.Problem;
import beampoint.fleet.changes.LogAction.RelinquishLease;
import beampoint.fleet.changes.LogAction.Send;
import beampoint.fleet.changes.LogEvent.Elected;
import beampoint.fleet.changes.LogEvent.Promised;
import beampoint.fleet.changes.LogEvent.Received;
import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogEvent.Tick;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * An immutable model of three replicas and the messages between them. Messages stay in the model once they
 * are sent, so they may be delivered at any later time, repeatedly, or never. The time is constant, and a
 * majority may promise the lease to any replica at any time, even while another one leads, because the safety
 * of the log must not depend on clocks.
 */
final class LogModel {

  static final List<String> NAMES = List.of("a", "b", "c");
  private static final int MAX_KEPT = 8;

  /** Settings that keep a number of committed entries outside the snapshot. */
  static LogSettings settings(int keptEntries) {
    return new LogSettings(new TreeSet<>(NAMES), 1,
        new LogLimits(4, 10_000, 4, 10_000, keptEntries, MAX_KEPT, 10_000, 4));
  }

  /** A message that may be delivered. */
  record SentMessage(int from, Send send) {}

  /** A committed entry and the epoch of the leader that committed it. */
  record Entry(ChangeEntry entry, Epoch committedUnder) {}

  /** How many events of each kind may still happen. */
  record Budget(int elections, int submissions, int crashes, int losses) {}

  /** The step function, and the state after a loss of memory: the real ones unless a test injects a fault. */
  interface Rules {

    LogSettings NEVER_COMPACTED = LogModel.settings(MAX_KEPT);

    default LogSettings settings() {
      return NEVER_COMPACTED;
    }

    default ReplicaState withMemoryLost(ReplicaState before, long life) {
      return ReplicaState.started(life);
    }

    default Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
      return replica.step(state, 0, event);
    }
  }

  final Rules rules;
  final List<ReplicaState> states;
  final Set<SentMessage> sent;
  final SortedMap<Long, Entry> committed;
  final Budget budget;
  final String violation;
  private int hash;

  private LogModel(Rules rules, List<ReplicaState> states, Set<SentMessage> sent,
      SortedMap<Long, Entry> committed, Budget budget, String violation) {
    this.rules = rules;
    this.states = states;
    this.sent = sent;
    this.committed = committed;
    this.budget = budget;
    this.violation = violation;
  }

  /** Three replicas without a log. */
  static LogModel initial(Rules rules) {
    List<ReplicaState> states = new ArrayList<>();
    for (int i = 0; i < NAMES.size(); i++) {
      states.add(ReplicaState.started(1));
    }
    return new LogModel(rules, states, Set.of(), new TreeMap<>(), new Budget(0, 0, 0, 0), null);
  }

  /** A log founded by the first replica, with all replicas in sync and no messages in flight. */
  static LogModel founded(Rules rules) {
    LogModel model = initial(rules).elected(0, List.of(0, 1, 2));
    for (int round = 0; round < 5; round++) {
      model = model.allDelivered();
    }
    return model.withoutMessages();
  }

  LogModel withoutMessages() {
    return new LogModel(rules, states, Set.of(), committed, budget, violation);
  }

  private LogModel allDelivered() {
    LogModel model = this;
    for (SentMessage message : sent) {
      model = model.delivered(message);
    }
    return model;
  }

  /** An equal model that shares its parts with the other models of a search, as few of them differ. */
  LogModel interned(Map<Object, Object> pool) {
    List<ReplicaState> shared = new ArrayList<>(NAMES.size());
    states.forEach(state -> shared.add(intern(pool, state)));
    return new LogModel(rules, shared, intern(pool, sent), intern(pool, committed), intern(pool, budget),
        violation);
  }

  @SuppressWarnings("unchecked")
  private static <T> T intern(Map<Object, Object> pool, T part) {
    Object known = pool.putIfAbsent(part, part);
    return known == null ? part : (T) known;
  }

  LogModel with(Budget next) {
    return new LogModel(rules, states, sent, committed, next, violation);
  }

  LogModel delivered(SentMessage message) {
    return withEvent(NAMES.indexOf(message.send.to()),
        new Received(NAMES.get(message.from), message.send.message()));
  }

  /** Delivers all messages that one replica has sent to another. */
  LogModel delivered(int from, int to) {
    LogModel model = this;
    for (SentMessage message : sent) {
      if (message.from == from && message.send.to().equals(NAMES.get(to))) {
        model = model.delivered(message);
      }
    }
    return model;
  }

  LogModel withEvent(int replica, LogEvent event) {
    Replica machine = new Replica(rules.settings(), NAMES.get(replica));
    ReplicaState before = states.get(replica);
    Replica.Step step = rules.step(machine, before, event);
    if (step.actions().isEmpty() && step.state().equals(before)) {
      return this;
    }
    List<ReplicaState> nextStates = new ArrayList<>(states);
    nextStates.set(replica, step.state());
    boolean delivers = step.actions().stream().anyMatch(Deliver.class::isInstance);
    SortedMap<Long, Entry> nextCommitted = delivers ? new TreeMap<>(committed) : committed;
    Set<SentMessage> nextSent = sent;
    String nextViolation = violation;
    for (LogAction action : step.actions()) {
      if (action instanceof Send send) {
        nextSent = with(nextSent, new SentMessage(replica, send));
      } else if (action instanceof Deliver deliver) {
        Epoch under = step.state().leads() ? step.state().leadership().epoch() : null;
        nextViolation = nextViolation != null ? nextViolation
            : deliver(nextCommitted, deliver.entries(), under);
      } else if (action instanceof Install install) {
        boolean known = install.snapshot().entries().stream()
            .allMatch(e -> committed.containsKey(e.index()) && committed.get(e.index()).entry.equals(e));
        nextViolation = known ? nextViolation : "a snapshot of entries that were not committed: " + install;
      } else if (action instanceof RelinquishLease relinquish
          && relinquish.problem() == Problem.CONTRADICTION) {
        nextViolation = "a contradiction at " + NAMES.get(replica);
      }
    }
    return new LogModel(rules, nextStates, nextSent, nextCommitted, budget, nextViolation);
  }

  /** Returns the same set if the message is in it, as sets are shared and most steps send nothing new. */
  private static Set<SentMessage> with(Set<SentMessage> before, SentMessage message) {
    if (before.contains(message)) {
      return before;
    }
    Set<SentMessage> after = new HashSet<>(before);
    after.add(message);
    return after;
  }

  /** Records delivered entries and returns the violation that they cause, or null. */
  private static String deliver(SortedMap<Long, Entry> all, List<ChangeEntry> entries, Epoch under) {
    for (ChangeEntry entry : entries) {
      Entry known = all.get(entry.index());
      if (known != null && !known.entry.equals(entry)) {
        return "two entries under one index: " + known.entry + " and " + entry;
      }
      if (known == null && under == null) {
        return "delivered by a follower before any leader committed it: " + entry;
      }
      if (all.values().stream().anyMatch(e -> e.entry.id().equals(entry.id())
          && e.entry.index() != entry.index())) {
        return "one change under two indexes: " + entry;
      }
      if (known == null) {
        all.put(entry.index(), new Entry(entry, under));
      }
    }
    return null;
  }

  /** The given majority promises the lease to a candidate, which is elected. */
  LogModel elected(int candidate, List<Integer> majority) {
    long number = majority.stream().mapToLong(i -> states.get(i).log().fence().number()).max().orElse(0) + 1;
    Epoch epoch = new Epoch(number, NAMES.get(candidate), states.get(candidate).log().life());
    LogModel model = this;
    for (int voter : majority) {
      model = model.withEvent(voter, new Promised(epoch));
    }
    Budget b = budget;
    return model.withEvent(candidate, new Elected(epoch))
        .with(new Budget(b.elections - 1, b.submissions, b.crashes, b.losses));
  }

  LogModel submitted(int replica, long number) {
    ChangeId id = new ChangeId("s", number);
    Change change = new PurgeChange(1, PurgeScope.KEY, "k" + number, 0);
    Budget b = budget;
    return withEvent(replica, new Submit(id, change)).withEvent(replica, new Tick())
        .with(new Budget(b.elections, b.submissions - 1, b.crashes, b.losses));
  }

  LogModel restarted(int replica) {
    Budget b = budget;
    return replaced(replica, states.get(replica).restartedWithLog(),
        new Budget(b.elections, b.submissions, b.crashes - 1, b.losses));
  }

  LogModel withMemoryLost(int replica) {
    ReplicaState before = states.get(replica);
    Budget b = budget;
    return replaced(replica, rules.withMemoryLost(before, before.log().life() + 1),
        new Budget(b.elections, b.submissions, b.crashes, b.losses - 1)).withEvent(replica, new Tick());
  }

  private LogModel replaced(int replica, ReplicaState state, Budget next) {
    List<ReplicaState> nextStates = new ArrayList<>(states);
    nextStates.set(replica, state);
    return new LogModel(rules, nextStates, sent, committed, next, violation);
  }

  private boolean isVoter(int replica) {
    return states.get(replica).log().voter();
  }

  private boolean knowsNoLog(int replica) {
    return states.get(replica).log().foundingEpoch().equals(Epoch.NONE);
  }

  private boolean allVote() {
    return states.stream().allMatch(s -> s.log().voter());
  }

  List<LogModel> next() {
    List<LogModel> all = new ArrayList<>();
    for (SentMessage message : sent) {
      all.add(delivered(message));
    }
    for (int i = 0; i < NAMES.size(); i++) {
      if (states.get(i).leads()) {
        all.add(withEvent(i, new Tick()));
        if (budget.submissions > 0) {
          all.add(submitted(i, budget.submissions));
          all.add(submitted(i, budget.submissions + 1)); // the previous change again
        }
      }
      if (budget.elections > 0 && (isVoter(i) || knowsNoLog(i))) {
        all.add(elected(i, List.of(i, (i + 1) % NAMES.size())));
        all.add(elected(i, List.of(i, (i + 2) % NAMES.size())));
      }
      if (budget.crashes > 0) {
        all.add(restarted(i));
      }
      if (budget.losses > 0 && (allVote() || knowsNoLog(i))) {
        all.add(withMemoryLost(i));
      }
    }
    return all;
  }

  /** The violation of the log's guarantees in this model, or null. */
  String violation() {
    if (violation != null) {
      return violation;
    }
    for (int i = 0; i < NAMES.size(); i++) {
      ReplicaState state = states.get(i);
      if (!state.leads()) {
        continue;
      }
      for (Entry entry : committed.values()) {
        boolean later = state.leadership().epoch().compareTo(entry.committedUnder) > 0;
        if (later && !holds(state.log(), entry.entry)) {
          return NAMES.get(i) + " leads later and lacks " + entry;
        }
      }
    }
    return committed.values().stream().filter(e -> holders(e.entry) < rules.settings().majority()).findFirst()
        .map(e -> "committed, and held by " + holders(e.entry) + " that vote: " + e).orElse(null);
  }

  /** Counts the replicas that hold an entry or, as non-voters, know that they may have lost it. */
  private long holders(ChangeEntry entry) {
    return states.stream().filter(s -> !s.log().voter() || holds(s.log(), entry)).count();
  }

  private static boolean holds(LogState log, ChangeEntry entry) {
    if (entry.index() <= log.snapshot().index()) {
      return log.snapshot().entries().contains(entry);
    }
    return entry.index() <= log.last() && log.entryAt(entry.index()).equals(entry);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof LogModel w && hashCode() == w.hashCode() && states.equals(w.states)
        && sent.equals(w.sent) && committed.equals(w.committed) && budget.equals(w.budget);
  }

  @Override
  public int hashCode() {
    if (hash == 0) {
      hash = Objects.hash(states, sent, committed, budget);
    }
    return hash;
  }

  @Override
  public String toString() {
    return states + ", committed: " + committed.values();
  }
}
