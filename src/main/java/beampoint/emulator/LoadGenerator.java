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
 * The clients, and the load balancer that assigns their requests to proxies. The load is an open loop: the
 * time of a request does not depend on the proxies, and all its random properties are drawn at that time, so
 * that two variants of a scenario get the same requests.
 */
final class LoadGenerator {

  private static final double WORK_LOG_STDDEV = 0.6; // of the log-normal work of requests

  private final World world;
  private final UniformRandomProvider arrivals;
  private final UniformRandomProvider choices;
  private final ContinuousSampler interarrivalTime;
  private final ContinuousSampler work;
  private final DiscreteSampler keys;
  private final double totalShare;
  private final double[] surgeFactors;
  private final Map<ClientRequest.Try, Instance> assigned = new HashMap<>();
  private long lastId;

  LoadGenerator(World world, UniformRandomProvider arrivals, UniformRandomProvider choices) {
    this.world = world;
    this.arrivals = arrivals;
    this.choices = choices;
    this.interarrivalTime = ZigguratSampler.Exponential.of(arrivals);
    this.work = LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(arrivals),
        -WORK_LOG_STDDEV * WORK_LOG_STDDEV / 2, WORK_LOG_STDDEV);
    this.keys = RejectionInversionZipfSampler.of(arrivals, world.scenario.keys().count(),
        world.scenario.keys().exponent());
    this.totalShare = world.scenario.loadClasses().stream().mapToDouble(Scenario.LoadClass::share).sum();
    this.surgeFactors = new double[world.scenario.tenants().size()];
    Arrays.fill(surgeFactors, 1);
  }

  void start() {
    for (int tenant = 0; tenant < surgeFactors.length; tenant++) {
      scheduleNext(tenant, world.clock.now());
    }
  }

  void setSurge(int tenant, double factor) {
    surgeFactors[tenant] = factor;
  }

  /**
   * Schedules the next arrival from the previous due time, not from when it ran, which is later in real time.
   */
  private void scheduleNext(int tenant, double last) {
    double rate = world.scenario.tenants().get(tenant).rate() * surgeFactors[tenant] / 1000;
    double due = last + interarrivalTime.sample() / rate;
    world.clock.at(due, () -> {
      arrive(tenant, due);
      scheduleNext(tenant, due);
    });
  }

  private void arrive(int tenant, double due) {
    int classNumber = 0;
    double point = arrivals.nextDouble() * totalShare;
    List<Scenario.LoadClass> loadClasses = world.scenario.loadClasses();
    while (classNumber < loadClasses.size() - 1 && point >= loadClasses.get(classNumber).share()) {
      point -= loadClasses.get(classNumber++).share();
    }
    long drift = (long) (world.scenario.keys().drift() * (due - world.start) / 1000);
    long key = keys.sample() + drift;
    ClientRequest request =
        new ClientRequest(++lastId, loadClasses.get(classNumber), classNumber, tenant, key, work.sample(),
            due);
    world.report.requestArrived(request);
    send(request);
  }

  private void send(ClientRequest request) {
    double now = world.clock.now();
    request.tries++;
    double maxTryTime = request.loadClass.requestClass().deadline() * world.scenario.clients().tryPart();
    double tryTime = Math.min(request.deadline() - now, maxTryTime);
    ClientRequest.Try clientTry = new ClientRequest.Try(request, now + tryTime);
    List<Instance> available = world.proxies().stream().filter(Instance::isBelievedUp).toList();
    if (available.isEmpty()) {
      answered(clientTry, Outcome.FAILED, 0);
      return;
    }
    Instance proxy = available.get(choices.nextInt(available.size()));
    assigned.put(clientTry, proxy);
    proxy.receive(clientTry);
    // The client waits a little beyond the deadline that it sends, so as not to miss an answer in time.
    world.clock.at(clientTry.deadline + World.CLIENT_GRACE_MS, () -> {
      if (assigned.containsKey(clientTry)) {
        assigned.remove(clientTry);
        proxy.clientGone(clientTry);
        clientTry.finished = true;
        retryOrGiveUp(request, Outcome.FAILED, world.scenario.clients().retryPause());
      }
    });
  }

  /** Handles the final answer to a try. */
  void answered(ClientRequest.Try clientTry, Outcome outcome, double advice) {
    clientTry.finished = true;
    assigned.remove(clientTry);
    ClientRequest request = clientTry.request;
    if (outcome == Outcome.SERVED) {
      world.report.served(request, world.clock.now() - request.dueAt);
    } else {
      boolean advised = outcome == Outcome.REFUSED && advice > 0;
      retryOrGiveUp(request, outcome, advised ? advice : world.scenario.clients().retryPause());
    }
  }

  private void retryOrGiveUp(ClientRequest request, Outcome outcome, double wait) {
    boolean mayRepeat = outcome == Outcome.REFUSED || !request.loadClass.write();
    boolean beforeDeadline = world.clock.now() + wait < request.deadline();
    if (mayRepeat && beforeDeadline && request.tries <= world.scenario.clients().retries()) {
      world.report.recordRetry();
      world.clock.after(wait, () -> send(request));
    } else {
      world.report.notServed(request, outcome);
    }
  }
}
