package beampoint.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.emulator.MemberFleet.Death;
import beampoint.fleet.membership.MembershipSettings;
import beampoint.fleet.message.Status;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** A fleet of members in virtual time under faults. */
class MemberFleetTest {

  private static MemberFleet fleet(int members, long seed) {
    MemberFleet fleet = new MemberFleet(members, MembershipSettings.defaults(), seed);
    fleet.runTo(5_000);
    return fleet;
  }

  private static List<Death> falsePositives(MemberFleet fleet) {
    return fleet.deaths().stream().filter(Death::wasAlive).toList();
  }

  @Test
  void aCrashIsDetectedByAllWithinFiveSeconds() {
    for (int members : new int[] {3, 14, 100}) {
      MemberFleet fleet = fleet(members, members);
      fleet.kill(1);
      fleet.runTo(10_000);
      assertEquals(members - 1, fleet.deaths().stream().filter(d -> d.member() == 1).count());
      assertTrue(fleet.viewsAgree());
      assertEquals(List.of(), falsePositives(fleet));
    }
  }

  @Test
  void aMemberPausedForThreeSecondsIsNotDeclaredDeadAndDeclaresNoneDead() {
    for (int members : new int[] {3, 14, 100}) {
      MemberFleet fleet = fleet(members, members);
      for (int i = 0; i < 10; i++) {
        double at = fleet.now();
        fleet.pause(i % members);
        fleet.runTo(at + 3_000);
        fleet.resume(i % members);
        fleet.runTo(at + 9_000);
      }
      assertEquals(List.of(), fleet.deaths());
    }
  }

  @Test
  void lossPausesAndOneWayCutsTogetherCauseNoFalsePositives() {
    for (long seed = 1; seed <= 3; seed++) {
      int members = 20;
      MemberFleet fleet = fleet(members, seed);
      Random random = new Random(seed);
      fleet.setLossEverywhere(0.05);
      fleet.setDelayAndDuplication(1, 60, 0.1); // delayed, reordered and duplicated messages
      for (int i = 0; i < 60; i++) {
        int one = random.nextInt(members);
        int other = (one + 1 + random.nextInt(members - 1)) % members;
        int paused = random.nextInt(members);
        double at = fleet.now();
        fleet.setLoss(one, other, 1);
        fleet.pause(paused);
        fleet.runTo(at + 500 + random.nextInt(2_500));
        fleet.resume(paused);
        fleet.runTo(at + 10_000);
        fleet.setLoss(one, other, 0.05);
      }
      assertEquals(List.of(), falsePositives(fleet));
    }
  }

  @Test
  void aMemberThatReceivesNothingStaysAliveAndDeclaresNoneDead() {
    for (int members : new int[] {3, 14, 60}) {
      MemberFleet fleet = fleet(members, members);
      IntStream.range(0, members).forEach(i -> fleet.setLoss(i, 2, 1));
      fleet.runTo(60_000);
      assertEquals(List.of(), fleet.deaths());
      assertTrue(fleet.membership(2).self().notReceiving());
      IntStream.range(0, members).forEach(i -> fleet.setLoss(i, 2, 0));
      fleet.runTo(70_000);
      assertTrue(!fleet.membership(2).self().notReceiving() && fleet.viewsAgree());
    }
  }

  /** Guards against suspicions that expire while a member may be isolated and take effect when that ends. */
  @Test
  void aMemberThatReceivesAgainGivesSuspectedMembersTheFullTime() {
    for (long seed = 0; seed < 10; seed++) {
      MemberFleet fleet = fleet(3, seed);
      fleet.setLoss(1, 0, 1); // n0 suspects n1, and only n2 could probe it for n0
      fleet.pause(2);
      fleet.runTo(7_600);
      fleet.setLoss(2, 0, 1); // n0 receives nothing more, so it gets no refutation
      fleet.resume(2);
      fleet.runTo(14_000);
      fleet.setLoss(2, 0, 0);
      fleet.runTo(20_000);
      assertEquals(List.of(), fleet.deaths());
    }
  }

  @Test
  void aMemberThatCannotSendDoesNotDistortViewsAndReturns() {
    MemberFleet fleet = fleet(14, 9);
    IntStream.range(0, 14).forEach(i -> fleet.setLoss(2, i, 1));
    fleet.runTo(60_000);
    assertTrue(fleet.deaths().stream().allMatch(d -> d.member() == 2),
        "only the member that cannot send is declared dead");
    assertTrue(fleet.membership(2).mayBeIsolated());
    IntStream.range(0, 14).forEach(i -> fleet.setLoss(2, i, 0));
    fleet.runTo(70_000);
    assertTrue(fleet.viewsAgree());
    assertEquals(14, fleet.membership(5).liveCount());
  }

  @Test
  void aZoneCutOffForAMinuteAgreesWithTheOthersWithinTenSeconds() {
    MemberFleet fleet = fleet(30, 4);
    for (int i = 0; i < 10; i++) {
      for (int j = 10; j < 30; j++) {
        fleet.setLoss(i, j, 1);
        fleet.setLoss(j, i, 1);
      }
    }
    fleet.runTo(65_000);
    assertEquals(20, fleet.membership(15).liveCount());
    assertEquals(10, fleet.membership(5).liveCount());
    fleet.setLossEverywhere(0);
    double healed = 0;
    for (double time = 65_100; time <= 75_000 && healed == 0; time += 100) {
      fleet.runTo(time);
      healed = fleet.viewsAgree() && fleet.membership(5).liveCount() == 30 ? time - 65_000 : 0;
    }
    assertTrue(healed > 0);
  }

  @Test
  void seventyPercentOfTheMembersCrashAndRestart() {
    MemberFleet fleet = fleet(40, 5);
    IntStream.range(0, 28).forEach(fleet::kill);
    fleet.runTo(20_000);
    assertEquals(12, fleet.membership(30).liveCount());
    assertEquals(List.of(), falsePositives(fleet));
    IntStream.range(0, 28).forEach(fleet::start);
    fleet.runTo(30_000);
    assertEquals(40, fleet.membership(30).liveCount());
    assertTrue(fleet.viewsAgree());
  }

  @Test
  void aRestartFasterThanDetectionAndAGracefulLeaveAreNoCrashes() {
    MemberFleet fleet = fleet(14, 6);
    fleet.kill(3);
    fleet.runTo(5_600);
    fleet.start(3);
    fleet.runTo(15_000);
    assertEquals(List.of(), fleet.deaths());
    fleet.leave(4);
    fleet.runTo(17_000);
    assertEquals(Status.LEFT, fleet.view(4, 9));
    assertEquals(List.of(), fleet.deaths());
    assertEquals(13, fleet.membership(3).liveCount());
  }
}
