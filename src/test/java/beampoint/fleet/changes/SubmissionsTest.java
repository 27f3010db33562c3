package beampoint.fleet.changes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.LogAction.Answer;
import beampoint.fleet.changes.LogEvent.LeaseEnded;
import beampoint.fleet.changes.LogEvent.Received;
import beampoint.fleet.changes.LogEvent.Submit;
import beampoint.fleet.changes.LogMessage.Accepted;
import beampoint.fleet.changes.SubmitOutcome.Committed;
import beampoint.fleet.changes.SubmitOutcome.NotLeader;
import beampoint.fleet.changes.SubmitOutcome.Reason;
import beampoint.fleet.changes.SubmitOutcome.Refused;
import beampoint.fleet.facts.Epoch;
import java.util.List;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/** The outcomes of changes submitted to the leader and to other replicas. */
class SubmissionsTest {

  private static final int IN_FLIGHT = 4;
  private static final int QUEUED = 3;

  private LogSettings settings = settings(
      new LogLimits(IN_FLIGHT, 100_000, QUEUED, 100_000, 2, 5, 100_000, 3));
  private Replica replica = new Replica(settings, "a");
  private ReplicaState state = leader();

  private static LogSettings settings(LogLimits limits) {
    return new LogSettings(new TreeSet<>(LogModel.NAMES), 1, limits);
  }

  private static ReplicaState leader() {
    return LogModel.founded(new LogModel.Rules() {}).states.get(0);
  }

  private void limits(LogLimits limits) {
    settings = settings(limits);
    replica = new Replica(settings, "a");
  }

  private List<Answer> step(LogEvent event) {
    Replica.Step step = replica.step(state, 0, event);
    state = step.state();
    return step.actions().stream().filter(Answer.class::isInstance).map(Answer.class::cast).toList();
  }

  private List<Answer> submit(String submitter, long number, String value) {
    return step(new Submit(new ChangeId(submitter, number), new PurgeChange(1, PurgeScope.KEY, value, 0)));
  }

  private List<Answer> submit(long number) {
    return submit("s", number, "k" + number);
  }

  /** A follower acknowledges all entries of the leader. */
  private List<Answer> acknowledge() {
    return step(new Received("b", new Accepted(state.leadership().epoch(), 1, true, true,
        state.log().last(), state.log().commit())));
  }

  private static Answer answer(long number, SubmitOutcome outcome) {
    return new Answer(new ChangeId("s", number), outcome);
  }

  private static Answer refused(long number, Reason reason) {
    return answer(number, new Refused(reason));
  }

  @Test
  void aChangeIsAnsweredOnceItIsCommitted() {
    assertEquals(List.of(), submit(1));
    assertEquals(List.of(answer(1, new Committed(1))), acknowledge());
    assertEquals(1, state.log().commit());
  }

  @Test
  void aRepeatedChangeIsAppendedOnce() {
    submit(1);
    assertEquals(List.of(), submit(1), "it is in flight");
    assertEquals(1, state.log().last());
    acknowledge();
    assertEquals(List.of(answer(1, new Committed(1))), submit(1));
    assertEquals(1, state.log().last());
  }

  @Test
  void aQueuedChangeIsNotQueuedAgain() {
    for (int i = 1; i <= IN_FLIGHT + 1; i++) {
      submit(i);
    }
    assertEquals(List.of(), submit(IN_FLIGHT + 1));
    assertEquals(1, state.leadership().queue().size());
  }

  @Test
  void changesBeyondTheLimitsOfEntriesInFlightAndOfTheQueueAreRejected() {
    for (int i = 1; i <= IN_FLIGHT + QUEUED; i++) {
      assertEquals(List.of(), submit(i));
      assertEquals(Math.min(i, IN_FLIGHT), state.log().last());
      assertEquals(Math.max(0, i - IN_FLIGHT), state.leadership().queue().size());
    }
    assertEquals(List.of(refused(8, Reason.QUEUE_FULL)), submit(8));
    assertEquals(IN_FLIGHT, acknowledge().size());
    assertEquals(IN_FLIGHT + QUEUED, state.log().last(), "queued changes are appended in order");
    assertTrue(state.leadership().queue().isEmpty());
    assertEquals(List.of(), submit(8));
    assertEquals(4, acknowledge().size());
    assertEquals("k8", ((PurgeChange) state.log().entryAt(8).change()).value());
  }

  @Test
  void bytesInFlightAndInTheQueueAreLimited() {
    String value = "v".repeat(1_000);
    int one = 1_000 + 64 + ChangeId.MAX_SUBMITTER_BYTES;
    limits(new LogLimits(IN_FLIGHT, 2 * one, 1, one, 2, 5, 100_000, 3));
    submit("s", 1, value);
    submit("s", 2, value);
    assertEquals(2, state.log().last());
    assertEquals(List.of(), submit("s", 3, value));
    assertEquals(2, state.log().last(), "the third is queued");
    assertEquals(List.of(refused(4, Reason.QUEUE_FULL)), submit("s", 4, value));
    limits(new LogLimits(IN_FLIGHT, one, 1, one - 1, 2, 5, 100_000, 3));
    state = leader();
    submit("s", 1, value);
    assertEquals(List.of(refused(2, Reason.QUEUE_FULL)), submit("s", 2, value));
  }

  @Test
  void aSingleChangeMayExceedTheByteLimit() {
    limits(new LogLimits(IN_FLIGHT, 100, 1, 100, 2, 5, 100_000, 3));
    assertEquals(List.of(), submit("s", 1, "v".repeat(1_000)));
    assertEquals(1, state.log().last());
  }

  @Test
  void aNumberUpToTheFloorIsRejected() {
    for (int i = 1; i <= 20; i++) {
      submit(i);
      acknowledge();
    }
    long droppedNumber = state.log().snapshot().droppedNumbers().get("s");
    assertTrue(droppedNumber > 5 && droppedNumber < 18, "floor: " + droppedNumber);
    assertEquals(List.of(refused(droppedNumber, Reason.TOO_OLD)), submit(droppedNumber));
    assertEquals(List.of(answer(droppedNumber + 1, new Committed(droppedNumber + 1))),
        submit(droppedNumber + 1));
    assertEquals(20, state.log().last());
  }

  @Test
  void theNumberOfSubmittersIsLimited() {
    submit("s", 1, "k");
    submit("t", 1, "k");
    assertEquals(List.of(), submit("u", 1, "k"));
    assertEquals(new Refused(Reason.TOO_MANY_SUBMITTERS), submit("v", 1, "k").get(0).outcome());
    acknowledge();
    assertEquals(List.of(), submit("u", 2, "k"), "a known submitter is accepted");
    assertEquals(new Refused(Reason.TOO_MANY_SUBMITTERS), submit("v", 1, "k").get(0).outcome());
  }

  @Test
  void aReplicaThatDoesNotLeadNamesTheLeader() {
    Epoch epoch = state.leadership().epoch();
    submit(1);
    assertEquals(List.of(answer(1, new NotLeader(Epoch.NONE))), step(new LeaseEnded()));
    state = LogModel.founded(new LogModel.Rules() {}).states.get(1);
    replica = new Replica(settings, "b");
    assertEquals(List.of(answer(2, new NotLeader(epoch))), submit(2));
  }

  @Test
  void invalidLimitsAndSettingsAreRejected() {
    new LogLimits(1_024, 512 << 10, 0, 0, 0, 0, 0, 1_024);
    assertThrows(IllegalArgumentException.class,
        () -> new LogLimits(1_025, 512 << 10, 0, 0, 0, 0, 0, 1_024));
    assertThrows(IllegalArgumentException.class,
        () -> new LogLimits(1_024, (512 << 10) + 1, 0, 0, 0, 0, 0, 1_024));
    assertThrows(IllegalArgumentException.class,
        () -> new LogLimits(1_024, 512 << 10, 0, 0, 0, 0, 0, 1_025));
    new LogLimits(1, 1_000, 0, 0, 0, ChangeCodec.MAX_PARTS - 2, 0, 1);
    assertThrows(IllegalArgumentException.class,
        () -> new LogLimits(1, 1_000, 0, 0, 0, ChangeCodec.MAX_PARTS - 1, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new LogLimits(0, 1, 0, 0, 0, 0, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new LogLimits(1, 1, -1, 0, 0, 0, 0, 1));
    assertThrows(IllegalArgumentException.class, () -> new LogSettings(new TreeSet<>(List.of("a", "b")), 1,
        LogLimits.DEFAULTS));
  }
}
