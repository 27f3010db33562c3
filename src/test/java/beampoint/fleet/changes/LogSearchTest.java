package beampoint.fleet.changes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.LogEvent.Elected;
import beampoint.fleet.changes.LogEvent.Received;
import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.LogMessage.Append;
import beampoint.fleet.changes.LogMessage.LogReply;
import beampoint.fleet.changes.LogMessage.RejoinAnswer;
import beampoint.fleet.changes.LogModel.Budget;
import beampoint.fleet.changes.LogModel.Rules;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Searches all runs of three replicas up to a depth, with the real step function: messages are delayed,
 * duplicated, reordered or lost, any replica may be elected by any majority at any time, and replicas crash
 * and restart with and without their memory.
 */
class LogSearchTest {

  private static final int EXTRA_DEPTH = Integer.getInteger("log.deeper", 0); // for longer searches
  private static final Rules REAL = new Rules() {};

  /** Committed entries are compacted into the snapshot at once. */
  private static final Rules COMPACTING = new Rules() {

    private final LogSettings compacted = LogModel.settings(0);

    @Override
    public LogSettings settings() {
      return compacted;
    }
  };

  private long models;

  /**
   * Searches all models that are reached in up to {@code depth} steps and returns the first violation, or
   * null. Models of the last step may be counted twice.
   */
  private String search(LogModel start, int depth) {
    Set<LogModel> seen = new HashSet<>();
    Map<Object, Object> pool = new HashMap<>();
    List<LogModel> level = List.of(start);
    models = 0;
    for (int i = 1; i <= depth; i++) {
      List<LogModel> nextLevel = new ArrayList<>();
      for (LogModel model : level) {
        for (LogModel next : model.next()) {
          if (next == model || i < depth && seen.contains(next)) {
            continue; // without effect, or already visited
          }
          models++;
          if (next.violation() != null) {
            return next.violation() + " at depth " + i + ": " + next;
          }
          if (i < depth) {
            LogModel interned = next.interned(pool);
            seen.add(interned);
            nextLevel.add(interned);
          }
        }
      }
      level = nextLevel;
    }
    return null;
  }

  /** A founded log without entries. */
  private static LogModel foundedLog(Rules rules) {
    return LogModel.founded(rules);
  }

  /** One replica has founded a log that the others do not know yet. */
  private static LogModel justFounded(Rules rules) {
    return LogModel.initial(rules).elected(0, List.of(0, 1)).delivered(0, 1).delivered(0, 2).delivered(1, 0)
        .delivered(2, 0);
  }

  /** Two replicas founded a log and committed an entry, one lost its memory; the third knows no log. */
  private static LogModel unknownToOneReplica(Rules rules) {
    return justFounded(rules).delivered(0, 1).delivered(1, 0).submitted(0, 9).delivered(0, 1).delivered(1, 0)
        .withMemoryLost(1);
  }

  /** The leader and one follower hold an entry; the follower's answer is in flight. */
  private static LogModel acknowledged(Rules rules) {
    return foundedLog(rules).submitted(0, 9).delivered(0, 1);
  }

  /** The same entry is committed, and the follower has lost its memory. */
  private static LogModel committedAndMemoryLost(Rules rules) {
    return acknowledged(rules).delivered(1, 0).withMemoryLost(1);
  }

  /** A replica answered a new leader's request and lost its memory before the answer arrived. */
  private static LogModel answeredAndMemoryLost(Rules rules) {
    return foundedLog(rules).elected(2, List.of(1, 2)).delivered(2, 1).withMemoryLost(1);
  }

  private void assertSafe(String name, LogModel start, Budget budget, int depth) {
    assertNull(start.violation());
    long startedAt = System.nanoTime();
    assertNull(search(start.with(budget), depth + EXTRA_DEPTH), name);
    System.out.printf("%s: %d worlds, %d deep, %.1f s%n", name, models, depth + EXTRA_DEPTH,
        (System.nanoTime() - startedAt) / 1e9);
  }

  @Test
  void theFoundedLogHasThreeVotersInSync() {
    LogModel model = foundedLog(REAL);
    assertTrue(model.states.stream().allMatch(s -> s.log().voter() && s.leader().holder().equals("a")));
    assertEquals(1, acknowledged(REAL).delivered(1, 0).committed.size());
  }

  @Test
  void noRunOfAFoundedLogLosesOrDuplicatesAnEntry() {
    assertSafe("from a founded log", foundedLog(REAL), new Budget(2, 2, 1, 1), 7);
    assertTrue(models > 50_000, "worlds: " + models);
  }

  @Test
  void noRunFromAnAcknowledgedEntryLosesOrDuplicatesIt() {
    assertSafe("from an acknowledged entry", acknowledged(REAL), new Budget(2, 1, 1, 1), 6);
    assertTrue(models > 50_000, "worlds: " + models);
  }

  @Test
  void noRunAfterALostMemoryLosesOrDuplicatesAnEntry() {
    assertSafe("from a lost memory", committedAndMemoryLost(REAL), new Budget(1, 1, 0, 1), 7);
    assertSafe("from a lost memory that had answered", answeredAndMemoryLost(REAL),
        new Budget(0, 1, 0, 0), 10);
  }

  @Test
  void noRunWithSnapshotsLosesOrDuplicatesAnEntry() {
    assertSafe("from an acknowledged entry, with snapshots", acknowledged(COMPACTING),
        new Budget(2, 1, 0, 1), 6);
    assertSafe("from a lost memory, with snapshots", committedAndMemoryLost(COMPACTING),
        new Budget(1, 1, 0, 0), 7);
  }

  @Test
  void noRunFoundsTwoLogsThatBothCommit() {
    assertSafe("from nothing", LogModel.initial(REAL), new Budget(2, 2, 0, 1), 8);
    assertSafe("from a log just founded", justFounded(REAL), new Budget(1, 2, 0, 1), 7);
    assertSafe("from a log that one has not heard of", unknownToOneReplica(REAL), new Budget(1, 1, 0, 0), 6);
  }

  @Test
  void aReplicaThatLostItsMemoryRegainsItsVoteFromASnapshot() {
    LogModel model = acknowledged(COMPACTING).delivered(1, 0).withoutMessages().withMemoryLost(1);
    for (int i = 0; i < 6; i++) {
      model = model.delivered(1, 0).delivered(1, 2).delivered(0, 1).delivered(2, 1)
          .withEvent(0, new LogEvent.Tick());
    }
    LogState log = model.states.get(1).log();
    assertTrue(log.voter() && log.snapshot().index() == 1, log.toString());
    assertNull(model.violation());
  }

  private void assertViolationFound(LogModel start, Budget budget, int depth) {
    String violation = search(start.with(budget), depth);
    assertNotNull(violation, "the search missed the fault");
    System.out.println("found: " + violation.substring(0, violation.indexOf(": ")));
  }

  @Test
  void theSearchFindsACommitWithoutAMajority() {
    Rules faulty = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
        Replica.Step step = replica.step(state, 0, event);
        if (!(event instanceof Submit) || !step.state().leads()) {
          return step;
        }
        LogState log = step.state().log();
        return inSequence(step, replica.step(step.state(), 0, new Received("b",
            new Accepted(step.state().leadership().epoch(), 1, true, true, log.last(), log.commit()))));
      }
    };
    assertViolationFound(foundedLog(faulty), new Budget(1, 1, 0, 0), 4);
  }

  @Test
  void theSearchFindsALeaderThatDoesNotAskForLogs() {
    Rules faulty = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
        Replica.Step step = replica.step(state, 0, event);
        if (!(event instanceof Elected elected) || !elected.epoch().holder().equals("c")) {
          return step;
        }
        return inSequence(step, replica.step(step.state(), 0, new Received("b", new LogReply(elected.epoch(),
            step.state().log().foundingEpoch(), 1, true, Epoch.NONE, 0, List.of()))));
      }
    };
    assertViolationFound(foundedLog(faulty), new Budget(1, 1, 0, 0), 5);
  }

  @Test
  void theSearchFindsAFollowerThatAcceptsAnOldEpoch() {
    Rules faulty = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
        boolean append = event instanceof Received received && received.message() instanceof Append;
        return replica.step(append ? withoutFence(state) : state, 0, event);
      }

      private ReplicaState withoutFence(ReplicaState s) {
        LogState log = s.log();
        return with(s, new LogState(log.foundingEpoch(), log.life(), log.voter(), Epoch.NONE, log.accepted(),
            log.snapshot(), log.entries(), log.commit()));
      }
    };
    assertViolationFound(foundedLog(faulty), new Budget(1, 1, 0, 0), 7);
  }

  @Test
  void theSearchFindsAReplicaThatVotesAfterLosingItsMemory() {
    Rules faulty = new Rules() {
      @Override
      public ReplicaState withMemoryLost(ReplicaState before, long life) {
        LogState log = before.log();
        return new ReplicaState(new LogState(log.foundingEpoch(), life, true, Epoch.NONE, log.foundingEpoch(),
            Snapshot.EMPTY, List.of(), 0), null, null, null, Epoch.NONE, false);
      }
    };
    assertViolationFound(foundedLog(faulty), new Budget(1, 1, 0, 1), 7);
  }

  @Test
  void theSearchFindsAReplicaThatVotesBeforeItKnowsThePromisesOfOthers() {
    Rules faulty = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
        if (state.rejoining() == null || state.log().foundingEpoch().equals(Epoch.NONE)) {
          return replica.step(state, 0, event);
        }
        ReplicaState informed = state;
        for (String voter : List.of("a", "c")) {
          informed = replica.step(informed, 0, new Received(voter, new RejoinAnswer(state.log().life(),
              state.log().foundingEpoch(), true, Epoch.NONE))).state();
        }
        return replica.step(informed, 0, event);
      }
    };
    assertViolationFound(answeredAndMemoryLost(faulty), new Budget(0, 1, 0, 0), 10);
  }

  @Test
  void theSearchFindsALogFoundedByAMajorityOnly() {
    Rules faulty = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState s, LogEvent event) {
        return replica.step(new ReplicaState(s.log(), s.rejoining(), s.catchUp(), s.leadership(), s.leader(),
            true), 0, event);
      }
    };
    assertEquals(1, unknownToOneReplica(faulty).committed.size());
    assertViolationFound(unknownToOneReplica(faulty), new Budget(1, 0, 0, 0), 4);
  }

  private static ReplicaState with(ReplicaState s, LogState log) {
    return new ReplicaState(log, s.rejoining(), s.catchUp(), s.leadership(), s.leader(), s.newLogAllowed());
  }

  private static Replica.Step inSequence(Replica.Step first, Replica.Step second) {
    List<LogAction> actions = new ArrayList<>(first.actions());
    actions.addAll(second.actions());
    return new Replica.Step(second.state(), actions);
  }
}
