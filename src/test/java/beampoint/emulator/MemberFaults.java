package beampoint.emulator;

import beampoint.fleet.membership.MembershipSettings;
import java.util.Arrays;
import java.util.Random;
import java.util.function.IntPredicate;

/** Faults of a fleet in virtual time with 1% message loss, and their effect on the members' views. */
final class MemberFaults {

  static final int RESTARTS = 26;
  private static final double LOSS = 0.01;
  private static final double SETTLED_AT_MS = 10_000;
  private static final double CHECK_INTERVAL_MS = 100;
  private static final double TIMEOUT_MS = 120_000;
  /** From a member's start; a death before that is no false positive, as its last crash still spreads. */
  private static final double ANNOUNCED_AFTER_MS = 1_000;
  private static final double NEVER = Double.POSITIVE_INFINITY;

  /**
   * The effect of a fault.
   *
   * @param affected members that were lost, cut off or restarted
   * @param falsePositives pairs of a member that was up and reachable and one that declared it dead
   * @param deaths pairs of a member and one that declared it dead
   * @param oneViewAfter ms from the fault, or from its end if it ends, until all views agree on who is live
   * @param worstSecond the most bytes that a member sent in one second since the fault
   * @param worstSecondOfDatagrams the same without full views
   * @param meanBytes the mean of the bytes that a member sent per second since the fault
   */
  record Outcome(String fault, int affected, long falsePositives, int deaths, double oneViewAfter,
      long worstSecond, long worstSecondOfDatagrams, double meanBytes) {}

  private final FleetTopology topology;
  private final MemberFleet fleet;
  private final long seed;
  private double faultAt;
  private long bytesBefore;

  MemberFaults(FleetTopology topology, long seed) {
    this.topology = topology;
    this.seed = seed;
    this.fleet = MemberFleet.settled(topology.members(), MembershipSettings.defaults(), seed);
    fleet.setLossEverywhere(LOSS);
  }

  /** Kills all members of a zone at once. */
  Outcome zoneLost(int zone) {
    return lost("a zone gone at once", topology.membersOf(member -> topology.zone(member) == zone));
  }

  /** Kills all members of a site at once. */
  Outcome rackLost(int site) {
    return lost("a rack gone at once", topology.membersOf(member -> topology.site(member) == site));
  }

  private Outcome lost(String fault, int[] lost) {
    begin();
    Arrays.stream(lost).forEach(fleet::kill);
    double after = runUntilOneView(topology.members() - lost.length);
    return outcome(fault, lost.length, after, member -> false);
  }

  /** Cuts a region off from the others for a time (ms); the outcome covers the time after it has healed. */
  Outcome regionCut(int region, double cutDuration) {
    IntPredicate inside = member -> topology.region(member) == region;
    begin();
    setLossBetweenSides(inside, 1);
    double cutAt = fleet.now();
    double oneViewOfEachSide = NEVER;
    while (fleet.now() < cutAt + cutDuration) {
      fleet.runTo(fleet.now() + CHECK_INTERVAL_MS);
      if (oneViewOfEachSide == NEVER && isSplit(inside)) {
        oneViewOfEachSide = fleet.now() - cutAt;
      }
    }
    System.out.printf("region cut: each side of one view after %.0f ms; %s%n", oneViewOfEachSide,
        outcome("while it was cut off", topology.membersOf(inside).length, oneViewOfEachSide, inside));
    setLossBetweenSides(inside, LOSS);
    begin();
    double after = runUntilOneView(topology.members());
    return outcome("a region cut off and healed", topology.membersOf(inside).length, after, inside);
  }

  private boolean isSplit(IntPredicate inside) {
    int cutOff = topology.membersOf(inside).length;
    int oneInside = topology.membersOf(inside)[0];
    int oneOutside = topology.membersOf(inside.negate())[0];
    return fleet.membership(oneInside).liveCount() == cutOff
        && fleet.membership(oneOutside).liveCount() == topology.members() - cutOff
        && fleet.viewsAgree(inside) && fleet.viewsAgree(inside.negate());
  }

  private void setLossBetweenSides(IntPredicate inside, double fraction) {
    for (int from : topology.membersOf(inside)) {
      for (int to : topology.membersOf(inside.negate())) {
        fleet.setLoss(from, to, fraction);
        fleet.setLoss(to, from, fraction);
      }
    }
  }

  /** Restarts members within one minute, each down for 0.5 to 8 s; times count from the last start. */
  Outcome restarts() {
    Random random = new Random(seed);
    begin();
    double every = 60_000.0 / RESTARTS;
    for (int i = 0; i < RESTARTS; i++) {
      int member = (int) ((long) i * topology.members() / RESTARTS);
      fleet.kill(member);
      double down = 500 + random.nextInt(7_500);
      fleet.at(fleet.now() + down, () -> fleet.start(member));
      fleet.runTo(faultAt + (i + 1) * every);
    }
    fleet.runTo(fleet.now() + 8_000);
    double after = runUntilOneView(topology.members());
    return outcome(RESTARTS + " restarts in a minute", RESTARTS, after, member -> false);
  }

  private void begin() {
    if (fleet.now() < SETTLED_AT_MS) {
      fleet.runTo(SETTLED_AT_MS);
    }
    faultAt = fleet.now();
    fleet.traffic().resetWorstSeconds();
    bytesBefore = fleet.traffic().datagramBytes() + fleet.traffic().viewBytes();
  }

  private double runUntilOneView(int liveMembers) {
    double begin = fleet.now();
    while (fleet.now() < begin + TIMEOUT_MS) {
      fleet.runTo(fleet.now() + CHECK_INTERVAL_MS);
      if (fleet.viewsAgree() && fleet.membership(firstRunning()).liveCount() == liveMembers) {
        return fleet.now() - begin;
      }
    }
    return NEVER;
  }

  private int firstRunning() {
    int member = 0;
    while (fleet.membership(member) == null) {
      member++;
    }
    return member;
  }

  private Outcome outcome(String fault, int affected, double after, IntPredicate cutOff) {
    long falsePositives = fleet.deaths().stream().filter(death -> death.ranFor() >= ANNOUNCED_AFTER_MS)
        .filter(death -> cutOff.test(death.member()) == cutOff.test(death.observer())).count();
    long bytes = fleet.traffic().datagramBytes() + fleet.traffic().viewBytes() - bytesBefore;
    double mean = bytes * 1_000.0 / (fleet.now() - faultAt) / topology.members();
    return new Outcome(fault, affected, falsePositives, fleet.deaths().size(), after,
        fleet.traffic().worstSecond(), fleet.traffic().worstSecondOfDatagrams(), mean);
  }
}
