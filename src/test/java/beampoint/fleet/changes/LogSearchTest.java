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
import beampoint.fleet.changes.LogMessage.Recovered;
import beampoint.fleet.changes.LogMessage.RejoinAnswer;
import beampoint.fleet.changes.LogWorld.Budget;
import beampoint.fleet.changes.LogWorld.Rules;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Every run of three replicas up to a depth, over the real step function: any message delivered late,
 * repeated, in any order or never, any replica elected by any majority at any time, and crashed and started
 * again with and without its memory.
 */
class LogSearchTest {

  private static final int DEEPER = Integer.getInteger("log.deeper", 0); // a longer search names more
  private static final Rules REAL = new Rules() {};

  /** Whatever is committed goes into the snapshot at once. */
  private static final Rules COMPACTING = new Rules() {

    private final LogSettings compacted = LogWorld.terms(0);

    @Override
    public LogSettings terms() {
      return compacted;
    }
  };

  private long worlds;

  /** Walks all worlds up to a depth; the first mistake, or null. Those of the last step may count twice. */
  private String search(LogWorld begin, int depth) {
    Set<LogWorld> seen = new HashSet<>();
    Map<Object, Object> parts = new HashMap<>();
    List<LogWorld> level = List.of(begin);
    worlds = 0;
    for (int i = 1; i <= depth; i++) {
      List<LogWorld> further = new ArrayList<>();
      for (LogWorld world : level) {
        for (LogWorld next : world.next()) {
          if (next == world || i < depth && seen.contains(next)) {
            continue; // nothing happened, or nothing new
          }
          worlds++;
          if (next.wrong() != null) {
            return next.wrong() + " at depth " + i + ": " + next;
          }
          if (i < depth) {
            LogWorld kept = next.sharing(parts);
            seen.add(kept);
            further.add(kept);
          }
        }
      }
      level = further;
    }
    return null;
  }

  /** A founded log, where nothing has happened yet. */
  private static LogWorld quiet(Rules rules) {
    return LogWorld.founded(rules);
  }

  /** One has founded a log, of which nobody else has heard. */
  private static LogWorld justFounded(Rules rules) {
    return LogWorld.begin(rules).elected(0, List.of(0, 1)).delivered(0, 1).delivered(0, 2).delivered(1, 0)
        .delivered(2, 0);
  }

  /** Two have founded a log and committed an entry, one has lost its memory; the third knows of nothing. */
  private static LogWorld unheardOf(Rules rules) {
    return justFounded(rules).delivered(0, 1).delivered(1, 0).submitted(0, 9).delivered(0, 1).delivered(1, 0)
        .forgotten(1);
  }

  /** An entry stands at the leader and at one follower; the answer is on its way. */
  private static LogWorld acknowledged(Rules rules) {
    return quiet(rules).submitted(0, 9).delivered(0, 1);
  }

  /** The same, committed, and the follower has lost its memory. */
  private static LogWorld forgotten(Rules rules) {
    return acknowledged(rules).delivered(1, 0).forgotten(1);
  }

  /** A new leader's question was answered by a replica that lost its memory before the answer came. */
  private static LogWorld answeredAndForgotten(Rules rules) {
    return quiet(rules).elected(2, List.of(1, 2)).delivered(2, 1).forgotten(1);
  }

  private void assertSafe(String name, LogWorld begin, Budget budget, int depth) {
    assertNull(begin.wrong());
    long began = System.nanoTime();
    assertNull(search(begin.with(budget), depth + DEEPER), name);
    System.out.printf("%s: %d worlds, %d deep, %.1f s%n", name, worlds, depth + DEEPER,
        (System.nanoTime() - began) / 1e9);
  }

  @Test
  void theFoundedLogHasThreeVotersInStep() {
    LogWorld world = quiet(REAL);
    assertTrue(world.states.stream().allMatch(s -> s.log().voter() && s.leader().holder().equals("a")));
    assertEquals(1, acknowledged(REAL).delivered(1, 0).committed.size());
  }

  @Test
  void noRunOfAFoundedLogLosesOrDoublesAnEntry() {
    assertSafe("from a founded log", quiet(REAL), new Budget(2, 2, 1, 1), 7);
    assertTrue(worlds > 50_000, "worlds: " + worlds);
  }

  @Test
  void noRunFromAnAcknowledgedEntryLosesOrDoublesIt() {
    assertSafe("from an acknowledged entry", acknowledged(REAL), new Budget(2, 1, 1, 1), 6);
    assertTrue(worlds > 50_000, "worlds: " + worlds);
  }

  @Test
  void noRunAfterALostMemoryLosesOrDoublesAnEntry() {
    assertSafe("from a lost memory", forgotten(REAL), new Budget(1, 1, 0, 1), 7);
    assertSafe("from a lost memory that had answered", answeredAndForgotten(REAL),
        new Budget(0, 1, 0, 0), 10);
  }

  @Test
  void noRunWithSnapshotsLosesOrDoublesAnEntry() {
    assertSafe("from an acknowledged entry, with snapshots", acknowledged(COMPACTING),
        new Budget(2, 1, 0, 1), 6);
    assertSafe("from a lost memory, with snapshots", forgotten(COMPACTING), new Budget(1, 1, 0, 0), 7);
  }

  @Test
  void noRunFoundsTwoLogsThatBothCommit() {
    assertSafe("from nothing", LogWorld.begin(REAL), new Budget(2, 2, 0, 1), 8);
    assertSafe("from a log just founded", justFounded(REAL), new Budget(1, 2, 0, 1), 7);
    assertSafe("from a log that one has not heard of", unheardOf(REAL), new Budget(1, 1, 0, 0), 6);
  }

  @Test
  void aReplicaWithoutMemoryVotesAgainWithTheSnapshot() {
    LogWorld world = acknowledged(COMPACTING).delivered(1, 0).withNothingOnItsWay().forgotten(1);
    for (int i = 0; i < 6; i++) {
      world = world.delivered(1, 0).delivered(1, 2).delivered(0, 1).delivered(2, 1)
          .happened(0, new LogEvent.Tick());
    }
    LogState log = world.states.get(1).log();
    assertTrue(log.voter() && log.snapshot().index() == 1, log.toString());
    assertNull(world.wrong());
  }

  private void assertFound(LogWorld begin, Budget budget, int depth) {
    String mistake = search(begin.with(budget), depth);
    assertNotNull(mistake, "the search passed over a mistake");
    System.out.println("found: " + mistake.substring(0, mistake.indexOf(": ")));
  }

  @Test
  void theSearchFindsACommitWithoutAMajority() {
    Rules mistaken = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
        Replica.Step step = replica.step(state, 0, event);
        if (!(event instanceof Submit) || !step.state().leads()) {
          return step;
        }
        LogState log = step.state().log();
        return both(step, replica.step(step.state(), 0, new Received("b",
            new Accepted(step.state().leadership().epoch(), 1, true, true, log.last(), log.commit()))));
      }
    };
    assertFound(quiet(mistaken), new Budget(1, 1, 0, 0), 4);
  }

  @Test
  void theSearchFindsALeaderThatDoesNotAskForLogs() {
    Rules mistaken = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
        Replica.Step step = replica.step(state, 0, event);
        if (!(event instanceof Elected elected) || !elected.epoch().holder().equals("c")) {
          return step;
        }
        return both(step, replica.step(step.state(), 0, new Received("b", new Recovered(elected.epoch(),
            step.state().log().identity(), 1, true, Epoch.NONE, 0, List.of()))));
      }
    };
    assertFound(quiet(mistaken), new Budget(1, 1, 0, 0), 5);
  }

  @Test
  void theSearchFindsAFollowerOfAnOldEpoch() {
    Rules mistaken = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
        boolean append = event instanceof Received received && received.message() instanceof Append;
        return replica.step(append ? withoutFence(state) : state, 0, event);
      }

      private ReplicaState withoutFence(ReplicaState s) {
        LogState log = s.log();
        return with(s, new LogState(log.identity(), log.life(), log.voter(), Epoch.NONE, log.accepted(),
            log.snapshot(), log.entries(), log.commit()));
      }
    };
    assertFound(quiet(mistaken), new Budget(1, 1, 0, 0), 7);
  }

  @Test
  void theSearchFindsAReplicaThatVotesWithoutItsMemory() {
    Rules mistaken = new Rules() {
      @Override
      public ReplicaState forgotten(ReplicaState before, long life) {
        LogState log = before.log();
        return new ReplicaState(new LogState(log.identity(), life, true, Epoch.NONE, log.identity(),
            Snapshot.EMPTY, List.of(), 0), null, null, null, Epoch.NONE, false);
      }
    };
    assertFound(quiet(mistaken), new Budget(1, 1, 0, 1), 7);
  }

  @Test
  void theSearchFindsAReplicaThatVotesBeforeItKnowsWhatWasPromised() {
    Rules mistaken = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState state, LogEvent event) {
        if (state.rejoining() == null || state.log().identity().equals(Epoch.NONE)) {
          return replica.step(state, 0, event);
        }
        ReplicaState told = state;
        for (String voter : List.of("a", "c")) {
          told = replica.step(told, 0, new Received(voter, new RejoinAnswer(state.log().life(),
              state.log().identity(), true, Epoch.NONE))).state();
        }
        return replica.step(told, 0, event);
      }
    };
    assertFound(answeredAndForgotten(mistaken), new Budget(0, 1, 0, 0), 10);
  }

  @Test
  void theSearchFindsAFounderThatIsContentWithAMajority() {
    Rules mistaken = new Rules() {
      @Override
      public Replica.Step step(Replica replica, ReplicaState s, LogEvent event) {
        return replica.step(new ReplicaState(s.log(), s.rejoining(), s.catchUp(), s.leadership(), s.leader(),
            true), 0, event);
      }
    };
    assertEquals(1, unheardOf(mistaken).committed.size());
    assertFound(unheardOf(mistaken), new Budget(1, 0, 0, 0), 4);
  }

  private static ReplicaState with(ReplicaState s, LogState log) {
    return new ReplicaState(log, s.rejoining(), s.catchUp(), s.leadership(), s.leader(), s.mayFound());
  }

  private static Replica.Step both(Replica.Step first, Replica.Step second) {
    List<LogAction> actions = new ArrayList<>(first.actions());
    actions.addAll(second.actions());
    return new Replica.Step(second.state(), actions);
  }
}
