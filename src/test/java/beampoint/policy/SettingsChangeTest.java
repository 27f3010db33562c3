package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.DedupGroup;
import beampoint.Balancer.Fail;
import beampoint.Balancer.Idempotency;
import beampoint.Balancer.Refuse;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.Result;
import beampoint.Balancer.Settings;
import beampoint.Balancer.SettingsChanged;
import java.util.List;
import org.junit.jupiter.api.Test;

/** How a balancer treats settings that change while requests are open. */
class SettingsChangeTest {

  private static final RequestClass UNSAFE = BalancerFixture.requestClass(Idempotency.UNSAFE, DedupGroup.ALL);

  private static Settings settings(int attempts, RequestClass... classes) {
    Settings s = BalancerFixture.settings(List.of(), true, classes);
    return new Settings(s.seed(), s.siblings(), s.zone(), s.listPushed(), s.weightSource(), s.originKind(),
        s.overShareWorth(), new Balancer.Limits(attempts, false, false, true, 400, 50), s.rules(), s.prices(),
        s.classes(), s.tenants());
  }

  private static void change(BalancerFixture f, Settings settings, Integer... former) {
    f.balancer.handle(f.now, new SettingsChanged(settings, List.of(former), List.of()));
  }

  @Test
  void anOpenRequestKeepsItsIdempotency() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ, UNSAFE).withFleet(4);
    long safe = f.nextId();
    String first = BalancerFixture.sentTo(f.request(0, 0, 5, false));
    long unsafe = f.nextId();
    String other = BalancerFixture.sentTo(f.request(1, 0, 6, false));
    change(f, settings(3, UNSAFE, BalancerFixture.READ), 0, 1);
    assertTrue(BalancerFixture.sentTo(f.endAttempt(safe, 0, first, 10, Result.RESET)) != null,
        "a safe request is retried");
    assertTrue(BalancerFixture.has(f.endAttempt(unsafe, 0, other, 10, Result.RESET), Fail.class),
        "an unsafe one is not");
    long now = f.nextId();
    String third = BalancerFixture.sentTo(f.request(0, 0, 7, false));
    assertTrue(BalancerFixture.has(f.endAttempt(now, 0, third, 10, Result.RESET), Fail.class),
        "the new settings apply");
  }

  @Test
  void anOpenRequestKeepsItsMaxAttemptsAndANewOneHasFewer() {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(4);
    long old = f.nextId();
    String first = BalancerFixture.sentTo(f.read(5));
    change(f, settings(1, BalancerFixture.READ), 0);
    long next = f.nextId();
    String other = BalancerFixture.sentTo(f.read(900));
    assertTrue(BalancerFixture.sentTo(f.endAttempt(old, 0, first, 10, Result.ERROR)) != null);
    assertTrue(BalancerFixture.has(f.endAttempt(next, 0, other, 10, Result.ERROR), Refuse.class));
  }
}
