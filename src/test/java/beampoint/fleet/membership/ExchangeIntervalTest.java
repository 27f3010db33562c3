package beampoint.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberEvent.Tick;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How often a member exchanges whole views, by the size of its fleet. */
class ExchangeIntervalTest {

  private static final double ONE_HOUR = 3_600_000;

  /** Guards against 5.1 KB a second of whole views at 2,300 members, ten times what probes take. */
  @ParameterizedTest
  @CsvSource({"2,120", "100,120", "101,119", "200,60", "400,30", "1000,12", "2300,6", "4096,3"})
  void itGrowsWithTheFleetBeyondAHundredMembers(int members, int exchanges) {
    MembershipSettings terms = MembershipSettings.defaults();
    Membership membership = new Membership(terms, RecordedFleet.name(0), "10.0.0.0:7946",
        RecordedFleet.knownMembers(members), RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0);
    int counted = 0;
    for (double now = terms.tickInterval(); now < ONE_HOUR; now += terms.tickInterval()) {
      counted += membership.handle(now, new Tick()).stream().filter(Exchange.class::isInstance).count();
    }
    assertEquals(exchanges, counted);
  }
}
