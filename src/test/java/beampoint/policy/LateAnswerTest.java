package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.Send;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** What is done about answers that come too late to earn anything. */
class LateAnswerTest {

  private static final RequestClass PART_WORTH =
      new RequestClass(Idempotency.SAFE, DedupGroup.ALL, 2_000, 500, 1_500, 1, 0.3);

  /** For how long the attempt that was just started is awaited; 0 stands for the client's time. */
  private static double limit(List<Action> actions) {
    return actions.stream().filter(Send.class::isInstance).map(a -> ((Send) a).timeout()).findFirst()
        .orElseThrow();
  }

  /** Guards against caches that go on to carry out reads that nobody can use any more. */
  @Test
  void aReadIsAwaitedForAsLongAsItsAnswerEarnsAnything() {
    Fixture f = new Fixture(Fixture.READ, PART_WORTH).withFleet(6);
    assertEquals(500, limit(f.read(5)));
    assertEquals(1_000, limit(f.request(1, 0, 5, false)), "worth a part until the client gives up");
    assertEquals(200, limit(f.balancer.handle(f.now, new RequestReceived(99, f.now + 200, 0, 0, 5, false))),
        "the client gives up before the aim");
  }

  @Test
  void aFurtherAttemptHasWhatIsLeftOfTheTime() {
    Fixture f = new Fixture(Fixture.READ).withFleet(6);
    long id = f.nextId();
    String first = Fixture.sentTo(f.read(5));
    f.now += 120;
    assertEquals(380, limit(f.end(id, 0, first, 120, Result.MISS)));
  }

  /** Guards against a client that is not told how its write ended, though that was known a moment later. */
  @Test
  void aWriteIsAwaitedUntilTheClientGivesUp() {
    for (Idempotency effect : List.of(Idempotency.KEYED, Idempotency.UNSAFE)) {
      Fixture f = new Fixture(Fixture.requestClass(effect, DedupGroup.ALL)).withFleet(6);
      assertEquals(0, limit(f.request(0, 0, 5, true)), effect.toString());
    }
  }

  /** Giving up is answered at once, with when to come back. */
  @Test
  void aReadThatIsLateIsRefusedAtItsAimAndNotSentAgain() {
    Fixture f = new Fixture(Fixture.READ).withFleet(6);
    long id = f.nextId();
    String endpoint = Fixture.sentTo(f.read(5));
    f.now += 500;
    assertTrue(f.end(id, 0, endpoint, 500, Result.TIMEOUT).contains(new Balancer.Refuse(id, 400)));
  }

  /**
   * Reads to ten caches, of which every so manieth comes late; how many are refused of the last 400. The
   * caches answer in 0.46 of the aim or miss, and the origin answers in 0.6 of it.
   */
  private static int refused(int lateEvery, boolean misses) {
    Fixture f = new Fixture(Fixture.READ).withFleet(10);
    int refused = 0;
    for (int i = 0; i < 600; i++) {
      boolean late = i % lateEvery == lateEvery - 1;
      f.now += 10;
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(1_000 + i));
      int attempt = 0;
      for (; misses && endpoint != null && !endpoint.equals("origin"); attempt++) {
        f.now += 10;
        endpoint = Fixture.sentTo(f.end(id, attempt, endpoint, 10, Result.MISS));
      }
      refused += endpoint == null && i >= 200 ? 1 : 0;
      if (endpoint != null) {
        double left = 500 - 10 * attempt;
        f.now += late ? left : 0;
        f.end(id, attempt, endpoint, late ? left : misses ? 300 : 230, late ? Result.TIMEOUT : Result.OK);
      }
    }
    return refused;
  }

  /** Guards against a jam that upholds itself: the times of those in time look good, and much is late. */
  @Test
  void lessIsAdmittedWhereMuchOfItComesLateAndAllWhereHardlyAnyDoes() {
    assertEquals(0, refused(1_000, false));
    assertEquals(0, refused(20, false));
    assertTrue(refused(3, false) > 40, "refused: " + refused(3, false));
  }

  /** Guards against an origin that all keep busy with fetches for which nobody waits any more. */
  @Test
  void lessIsFetchedWhereManyFetchesComeLate() {
    assertEquals(0, refused(1_000, true));
    assertEquals(0, refused(20, true));
    assertTrue(refused(3, true) > 40, "refused: " + refused(3, true));
  }

  /** Guards against a fleet that refuses because it refused: late answers are forgotten within seconds. */
  @Test
  void whatCameLateIsForgottenSoonThoughAllWasRefused() {
    Fixture f = new Fixture(Fixture.READ).withFleet(10);
    for (int i = 0; i < 100; i++) {
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(1_000 + i));
      if (endpoint != null) {
        f.end(id, 0, endpoint, 500, Result.TIMEOUT);
      }
    }
    f.now += 20_000;
    int sent = 0;
    for (int i = 0; i < 20; i++) {
      f.now += 10;
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(2_000 + i));
      sent += endpoint == null ? 0 : 1;
      f.end(id, 0, endpoint, 175, Result.OK);
    }
    assertEquals(20, sent);
  }

  /** Guards against a few silent caches that close the door to all the others. */
  @Test
  void cachesThatAnswerQuicklyTakeAllThoughAFifthOfTheFleetIsSilent() {
    Fixture f = new Fixture(Fixture.READ).withFleet(10);
    Map<Long, String> open = new HashMap<>();
    int refused = 0;
    for (int i = 0; i < 3_000; i++) {
      f.now += 5;
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.read(1_000 + i));
      refused += endpoint == null ? 1 : 0;
      if (endpoint != null && (endpoint.equals("cache-1") || endpoint.equals("cache-2"))) {
        open.put(id, endpoint);
      } else if (endpoint != null) {
        f.end(id, 0, endpoint, 40, Result.OK);
      }
      String late = open.remove(id - 100);
      if (late != null) {
        f.end(id - 100, 0, late, 500, Result.TIMEOUT);
      }
    }
    assertTrue(refused < 90, "refused: " + refused);
  }

  /**
   * True where a request of the class is served whose client waits so long, marked as asked before or not, by
   * caches that need so long, among others whose clients wait for a second.
   */
  private static boolean serves(Fixture f, int type, double wait, boolean again, double took, boolean marks) {
    for (int i = 0; i < 400; i++) {
      f.now += 10;
      long id = f.nextId();
      String endpoint = Fixture.sentTo(f.request(i % 2, 0, 1_000 + i, false));
      if (endpoint != null) {
        f.end(id, 0, endpoint, took, Result.OK);
      }
    }
    if (marks) {
      f.balancer.handle(f.now, new RequestReceived(98_000, f.now + 1_000, 0, 0, 6, false, true));
    }
    return Fixture.sentTo(f.balancer.handle(f.now,
        new RequestReceived(99_000, f.now + wait, 0, type, 5, false, again))) != null;
  }

  private static Fixture twoKinds() {
    return new Fixture(Fixture.READ, PART_WORTH).withFleet(10);
  }

  /** Guards against caches that are kept busy with what was refused before and can earn nothing any more. */
  @Test
  void whatIsAskedAgainAfterItsAimYieldsWhereCachesAreNotFree() {
    assertFalse(serves(twoKinds(), 0, 400, false, 130, false));
    assertTrue(serves(twoKinds(), 0, 400, false, 20, false), "there is room");
    assertTrue(serves(twoKinds(), 0, 1_000, false, 130, false), "asked for the first time");
    assertTrue(serves(twoKinds(), 0, 1_400, false, 130, false), "a client that waits longer than others");
    assertTrue(serves(twoKinds(), 1, 400, false, 130, false), "worth a part until its client gives up");
  }

  /** Guards against clients of little patience that are taken for others, where those mark repeats. */
  @Test
  void whereClientsMarkWhatTheyAskAgainOnlyThatYields() {
    assertFalse(serves(twoKinds(), 0, 400, true, 130, true));
    assertTrue(serves(twoKinds(), 0, 400, false, 130, true));
    assertTrue(serves(twoKinds(), 0, 1_000, true, 130, true), "asked again at once, with all the time left");
  }

  /** Guards against a class all of whose clients wait for a small part of its time. */
  @Test
  void whatClientsOfAClassAlwaysWaitIsNoSignOfARepeat() {
    Fixture f = new Fixture(Fixture.READ).withFleet(10);
    int refused = 0;
    for (int i = 0; i < 400; i++) {
      f.now += 10;
      String endpoint = Fixture.sentTo(
          f.balancer.handle(f.now, new RequestReceived(i, f.now + 400, 0, 0, 1_000 + i, false)));
      refused += endpoint == null ? 1 : 0;
      if (endpoint != null) {
        f.end(i, 0, endpoint, 130, Result.OK);
      }
    }
    assertEquals(0, refused);
  }
}
