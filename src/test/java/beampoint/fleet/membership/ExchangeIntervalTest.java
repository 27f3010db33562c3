package beampoint.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberEvent.Tick;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How often a member exchanges whole views, by the size of its fleet. */
class ExchangeIntervalTest {

  private static final double TEN_MINUTES = 600_000;

  /** Guards against 5.1 KB a second of whole views at 2,300 members, ten times what probes take. */
  @ParameterizedTest
  @CsvSource({"2,20", "100,20", "128,20", "129,10", "256,10", "257,7", "2300,4", "4096,4"})
  void itGrowsWithEachDoublingOfALargeFleet(int members, int exchanges) {
    MemberTerms terms = MemberTerms.usual();
    Membership membership = new Membership(terms, RecordedFleet.name(0), "10.0.0.0:7946",
        RecordedFleet.knownMembers(members), RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0);
    int counted = 0;
    for (double now = terms.step(); now < TEN_MINUTES; now += terms.step()) {
      counted += membership.handle(now, new Tick()).stream().filter(Exchange.class::isInstance).count();
    }
    assertEquals(exchanges, counted);
  }
}
