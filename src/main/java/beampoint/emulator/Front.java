package beampoint.emulator;

import beampoint.emulator.ClientRequest.Outcome;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ContinuousSampler;
import org.apache.commons.rng.sampling.distribution.DiscreteSampler;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.RejectionInversionZipfSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * The clients and the front that deals them out. They come in an open loop: when a request is due depends
 * on nothing that the proxies do, and all that is drawn for it is drawn then: two variants meet the same.
 */
final class Front {

  private static final double WORK_SPREAD = 0.6; // of the logarithm of the work

  private final World world;
  private final UniformRandomProvider arrivals;
  private final UniformRandomProvider choices;
  private final ContinuousSampler gap;
  private final ContinuousSampler work;
  private final DiscreteSampler keys;
  private final double shares;
  private final double[] surge;
  private final Map<ClientRequest.Try, Instance> at = new HashMap<>();
  private long lastId;

  Front(World world, UniformRandomProvider arrivals, UniformRandomProvider choices) {
    this.world = world;
    this.arrivals = arrivals;
    this.choices = choices;
    this.gap = ZigguratSampler.Exponential.of(arrivals);
    this.work = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(arrivals),
        -WORK_SPREAD * WORK_SPREAD / 2, WORK_SPREAD);
    this.keys = RejectionInversionZipfSampler.of(arrivals, world.scenario.keys().count(),
        world.scenario.keys().exponent());
    this.shares = world.scenario.kinds().stream().mapToDouble(Scenario.Kind::share).sum();
    this.surge = new double[world.scenario.tenants().size()];
    Arrays.fill(surge, 1);
  }

  void begin() {
    for (int tenant = 0; tenant < surge.length; tenant++) {
      next(tenant, world.clock.now());
    }
  }

  void surge(int tenant, double factor) {
    surge[tenant] = factor;
  }

  /** What is due follows what was due before, not when that was begun, which in real time is later. */
  private void next(int tenant, double last) {
    double rate = world.scenario.tenants().get(tenant).rate() * surge[tenant] / 1000;
    double due = last + gap.sample() / rate;
    world.clock.at(due, () -> {
      arrive(tenant, due);
      next(tenant, due);
    });
  }

  private void arrive(int tenant, double due) {
    int number = 0;
    double drawn = arrivals.nextDouble() * shares;
    List<Scenario.Kind> kinds = world.scenario.kinds();
    while (number < kinds.size() - 1 && drawn >= kinds.get(number).share()) {
      drawn -= kinds.get(number++).share();
    }
    long drifted = (long) (world.scenario.keys().drift() * (due - world.start) / 1000);
    long key = keys.sample() + drifted;
    ClientRequest request =
        new ClientRequest(++lastId, kinds.get(number), number, tenant, key, work.sample(), due);
    world.report.asked(request);
    send(request);
  }

  private void send(ClientRequest request) {
    double now = world.clock.now();
    request.tries++;
    double longest = request.kind.rules().deadline() * world.scenario.clients().tryPart();
    double time = Math.min(request.endsAt() - now, longest);
    ClientRequest.Try clientTry = new ClientRequest.Try(request, now + time);
    List<Instance> known = world.proxies().stream().filter(Instance::isKnownUp).toList();
    if (known.isEmpty()) {
      answered(clientTry, Outcome.FAILED, 0);
      return;
    }
    Instance proxy = known.get(choices.nextInt(known.size()));
    at.put(clientTry, proxy);
    proxy.take(clientTry);
    // It waits a little longer than it says, so that an answer in time is never missed.
    world.clock.at(clientTry.notAfter + World.PATIENCE, () -> {
      if (at.containsKey(clientTry)) {
        at.remove(clientTry);
        proxy.left(clientTry);
        clientTry.over = true;
        again(request, Outcome.FAILED, world.scenario.clients().pause());
      }
    });
  }

  /** A try has its final answer. */
  void answered(ClientRequest.Try clientTry, Outcome outcome, double advice) {
    clientTry.over = true;
    at.remove(clientTry);
    ClientRequest request = clientTry.request;
    if (outcome == Outcome.SERVED) {
      world.report.served(request, world.clock.now() - request.dueAt);
    } else {
      boolean advised = outcome == Outcome.REFUSED && advice > 0;
      again(request, outcome, advised ? advice : world.scenario.clients().pause());
    }
  }

  private void again(ClientRequest request, Outcome outcome, double wait) {
    boolean harmless = outcome == Outcome.REFUSED || !request.kind.write();
    boolean inTime = world.clock.now() + wait < request.endsAt();
    if (harmless && inTime && request.tries <= world.scenario.clients().retries()) {
      world.report.retry();
      world.clock.after(wait, () -> send(request));
    } else {
      world.report.notServed(request, outcome);
    }
  }
}
