package beampoint.policy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.Result;
import beampoint.Balancer.TimerFired;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Nothing more is sent for a request whose client has left. */
class ClientGoneTest {

  @ParameterizedTest
  @EnumSource(Result.class)
  void noAttemptFollowsWhateverTheOutcomeOfTheOneInFlight(Result result) {
    BalancerFixture f = new BalancerFixture(BalancerFixture.READ).withFleet(6);
    long id = f.nextId();
    String endpoint = BalancerFixture.sentTo(f.read(5));
    assertNotNull(endpoint);
    f.balancer.handle(f.now, new RequestGone(id));
    f.now += 20;
    assertNull(BalancerFixture.sentTo(f.endAttempt(id, 0, endpoint, 20, result)));
  }

  @Test
  void noAttemptFollowsAPendingProbe() {
    BalancerFixture f = new BalancerFixture(true, BalancerFixture.READ).withFleet(6);
    long id = f.nextId();
    List<Action> actions = f.read(5);
    assertTrue(actions.get(0) instanceof Balancer.Probe);
    String primary = ((Balancer.Probe) actions.get(0)).endpoint();
    f.balancer.handle(f.now, new RequestGone(id));
    f.now += 50;
    assertNull(BalancerFixture.sentTo(f.balancer.handle(f.now, new TimerFired(id))));
    assertNull(
        BalancerFixture.sentTo(f.balancer.handle(f.now, new Balancer.ProbeEnded(primary, Result.OK, 50))));
  }
}
