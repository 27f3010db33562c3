package beampoint.fleet.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import beampoint.fleet.membership.MemberAction.Exchange;
import beampoint.fleet.membership.MemberEvent.Tick;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** How often a member exchanges whole views, depending on the size of its fleet. */
class ExchangeIntervalTest {

  private static final double ONE_HOUR = 3_600_000;

  /**
   * With a fixed interval, whole views would take 5.1 KB per second at 2,300 members, ten times as much as
   * probes.
   */
  @ParameterizedTest
  @CsvSource({"2,120", "100,120", "101,119", "200,60", "400,30", "1000,12", "2300,6", "4096,3"})
  void theIntervalGrowsWithTheFleetAboveAHundredMembers(int members, int exchanges) {
    MembershipSettings settings = MembershipSettings.defaults();
    Membership membership = new Membership(settings, RecordedFleet.name(0), "10.0.0.0:7946",
        RecordedFleet.knownMembers(members), RandomSource.XO_RO_SHI_RO_128_PP.create(1), 0);
    int count = 0;
    for (double now = settings.tickInterval(); now < ONE_HOUR; now += settings.tickInterval()) {
      count += membership.handle(now, new Tick()).stream().filter(Exchange.class::isInstance).count();
    }
    assertEquals(exchanges, count);
  }
}
