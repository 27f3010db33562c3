package beampoint.emulator;

import beampoint.fleet.membership.MembershipSettings;
import java.util.Arrays;
import java.util.Random;
import java.util.function.IntPredicate;

/** Faults of a whole fleet in virtual time, with 1% loss, and what became of its view. */
final class MemberFaults {

  static final int RESTARTS = 26;
  private static final double LOSS = 0.01;
  private static final double SETTLED_AT = 10_000; // ms
  private static final double LOOK_EVERY = 100;
  private static final double GIVE_UP_AFTER = 120_000;
  private static final double HEARD_WITHIN = 1_000; // of its start, before which a crash is still news
  private static final double NEVER = Double.POSITIVE_INFINITY;

  /**
   * What a fault led to.
   *
   * @param affected members that were lost, cut off or restarted
   * @param falsePositives members that ran, could be reached, and became dead in another's view, by pairs
   * @param deaths members that became dead in another's view, by pairs
   * @param oneViewAfter ms from the fault, or from its end where it ends, until all see the same members live
   * @param worstSecond bytes that a member sent in its worst second since the fault
   * @param worstSecondOfDatagrams the same without whole views
   * @param meanBytes a member sent a second since the fault
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

  /** All members of a zone are gone at once. */
  Outcome zoneLost(int zone) {
    return lost("a zone gone at once", topology.membersOf(member -> topology.zone(member) == zone));
  }

  /** All members of a site are gone at once. */
  Outcome rackLost(int site) {
    return lost("a rack gone at once", topology.membersOf(member -> topology.site(member) == site));
  }

  private Outcome lost(String fault, int[] lost) {
    begin();
    Arrays.stream(lost).forEach(fleet::kill);
    double after = untilOneView(topology.members() - lost.length);
    return outcome(fault, lost.length, after, member -> false);
  }

  /** A region and the others don't reach each other for a time; the outcome is that since it was healed. */
  Outcome regionCut(int region, double cutFor) {
    IntPredicate inside = member -> topology.region(member) == region;
    begin();
    setLossBetweenSides(inside, 1);
    double cutAt = fleet.now();
    double oneViewOfEachSide = NEVER;
    while (fleet.now() < cutAt + cutFor) {
      fleet.runTo(fleet.now() + LOOK_EVERY);
      if (oneViewOfEachSide == NEVER && isSplit(inside)) {
        oneViewOfEachSide = fleet.now() - cutAt;
      }
    }
    System.out.printf("region cut: each side of one view after %.0f ms; %s%n", oneViewOfEachSide,
        outcome("while it was cut off", topology.membersOf(inside).length, oneViewOfEachSide, inside));
    setLossBetweenSides(inside, LOSS);
    begin();
    double after = untilOneView(topology.members());
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

  private void setLossBetweenSides(IntPredicate inside, double part) {
    for (int from : topology.membersOf(inside)) {
      for (int to : topology.membersOf(inside.negate())) {
        fleet.setLoss(from, to, part);
        fleet.setLoss(to, from, part);
      }
    }
  }

  /** Members restart in one minute, each down for 0.5 to 8 s; the time counts from the last start. */
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
    double after = untilOneView(topology.members());
    return outcome(RESTARTS + " restarts in a minute", RESTARTS, after, member -> false);
  }

  private void begin() {
    if (fleet.now() < SETTLED_AT) {
      fleet.runTo(SETTLED_AT);
    }
    faultAt = fleet.now();
    fleet.traffic().resetWorstSeconds();
    bytesBefore = fleet.traffic().datagramBytes() + fleet.traffic().viewBytes();
  }

  private double untilOneView(int living) {
    double begin = fleet.now();
    while (fleet.now() < begin + GIVE_UP_AFTER) {
      fleet.runTo(fleet.now() + LOOK_EVERY);
      if (fleet.viewsAgree() && fleet.membership(oneThatRuns()).liveCount() == living) {
        return fleet.now() - begin;
      }
    }
    return NEVER;
  }

  private int oneThatRuns() {
    int member = 0;
    while (fleet.membership(member) == null) {
      member++;
    }
    return member;
  }

  private Outcome outcome(String fault, int affected, double after, IntPredicate cutOff) {
    long falsePositives = fleet.deaths().stream().filter(death -> death.ranFor() >= HEARD_WITHIN)
        .filter(death -> cutOff.test(death.member()) == cutOff.test(death.observer())).count();
    long bytes = fleet.traffic().datagramBytes() + fleet.traffic().viewBytes() - bytesBefore;
    double mean = bytes * 1_000.0 / (fleet.now() - faultAt) / topology.members();
    return new Outcome(fault, affected, falsePositives, fleet.deaths().size(), after,
        fleet.traffic().worstSecond(), fleet.traffic().worstSecondOfDatagrams(), mean);
  }
}
