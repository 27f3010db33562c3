package beampoint.policy.state;

import beampoint.Balancer.Action;
import beampoint.Balancer.BanChanged;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ListReceived;
import beampoint.Balancer.RequestClass;
import beampoint.Balancer.Settings;
import beampoint.Balancer.SettingsChanged;
import beampoint.Balancer.Tenant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

/** State that the parts of the decision module share: settings, nodes, observations. Times are in ms. */
public final class PolicyState {

  /** The settings in force; an open request may have begun under earlier ones. */
  public Settings settings;
  /** Sum of all tenants' quotas, in requests per second. */
  public double totalQuota;
  /** Seeded by the first settings. */
  public Random random;
  /** Actions that follow from the current event, in order. */
  public final List<Action> actions = new ArrayList<>();
  /** Time of the current event, and of the first. */
  public double now;
  public double startedAt = Double.POSITIVE_INFINITY;
  /** All nodes by name, the running caches among them, and the number of the caches' zones. */
  public final Map<String, Node> nodes = new TreeMap<>();
  public final List<Node> caches = new ArrayList<>();
  public int zones;
  /** The greatest weight listed for each kind of machine. */
  public final Map<Integer, Double> maxWeights = new HashMap<>();
  /** The running origin, or null. */
  public Node origin;
  /** Attempts in flight at caches. */
  public int inFlightAtCaches;
  /** Counts the requests received. */
  public final DecayingMean requests = new DecayingMean();
  /** Attempts at caches: logarithms of their times, share of timeouts, share of failures (with probes). */
  public final DecayingMean logTimes = new DecayingMean();
  public final DecayingMean timeouts = new DecayingMean();
  public final DecayingMean failures = new DecayingMean();
  /** Share of timeouts among the attempts at the origin. */
  public final DecayingMean originTimeouts = new DecayingMean();
  /** Load that caches reported, 0 to 1. */
  public final DecayingMean reportedLoad = new DecayingMean();
  /** Attempts that ended with an answer, 1 for each, 0 for others; and their peak rate, per ms. */
  public final DecayingMean served = new DecayingMean();
  public double peakServedRate;
  /** This process's part of the rate allowed to cold caches: two processes may stand for one balancer. */
  public double coldShare = 1;
  public final RingPoints ringPoints = new RingPoints();
  /** Time at which points of warming caches are to be added. */
  public double ringUpdateAt = Double.POSITIVE_INFINITY;
  /** Recent requests for each bucket. */
  public BucketFrequency bucketFrequency;
  /** Time since which the origin has had room. */
  public double originHasRoomSince = Double.NEGATIVE_INFINITY;
  /** Usage of each tenant; for each class, its clients' waits as part of the class's deadline. */
  public List<TenantUsage> usages = List.of();
  public final Map<RequestClass, DecayingMean> clientWaits = new HashMap<>();
  /** True once a client has marked a request as a retry. */
  public boolean clientsMarkRetries;
  /** Calls for the list, and whether the list has come since the last call. */
  public long listCalls;
  public boolean listReceived;
  /** True while the list may lack drains that discovery has announced. */
  public boolean listUnconfirmed;
  private final Map<String, Ban> bans = new TreeMap<>(); // by endpoint; removed once a readmitted one is warm

  /** Applies new settings; the observed usage of a tenant moves with it. */
  public void apply(SettingsChanged e) {
    random = settings == null ? new Random(e.settings().seed()) : random;
    settings = e.settings();
    totalQuota = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    usages = e.formerTenants().stream().map(n -> n < 0 ? new TenantUsage() : usages.get(n)).toList();
    clientWaits.keySet().retainAll(settings.classes());
  }

  /** Applies a list event; a node that is gone is kept until it has no attempt in flight. */
  public void apply(ListReceived e) {
    listUnconfirmed = e.kind() == ListKind.UNCONFIRMED;
    if (e.kind() == ListKind.FULL) {
      nodes.values().forEach(n -> n.endpoint = n.endpoint.gone());
    }
    for (Endpoint endpoint : e.endpoints()) {
      Node node = nodes.computeIfAbsent(endpoint.id(), id -> new Node());
      node.update(endpoint, endpoint.kind() == settings.originKind(),
          bans.getOrDefault(endpoint.id(), Ban.NONE));
      maxWeights.merge(endpoint.kind(), Math.max(0, endpoint.weight()), Math::max);
    }
    collectCaches();
  }

  /** Begins or ends a ban. No list ends one: a banned endpoint stays out until operators readmit it. */
  public void apply(BanChanged e) {
    Ban ban = bans.getOrDefault(e.endpoint(), Ban.NONE);
    bans.values().removeIf(b -> now - b.until() > settings.rules().warmUp());
    if (ban.isActive() != e.out()) {
      ban = e.out() ? new Ban(e.at(), Double.POSITIVE_INFINITY) : new Ban(ban.since(), e.at());
      bans.put(e.endpoint(), ban);
    }
    Node node = nodes.get(e.endpoint());
    if (node != null) {
      node.update(node.endpoint, node.origin, ban);
    }
    collectCaches();
  }

  private void collectCaches() {
    caches.clear();
    origin = null;
    for (Node node : nodes.values()) {
      if (node.isCache()) {
        caches.add(node);
      } else if (origin == null && node.origin && node.endpoint.state() == EndpointState.RUNNING) {
        origin = node;
      }
    }
    zones = (int) caches.stream().mapToInt(n -> n.endpoint.zone()).distinct().count();
  }

  /** Removes nodes that are gone and have no attempts in flight. */
  public void removeGoneNodes() {
    nodes.values().removeIf(n -> n.endpoint.state() == EndpointState.GONE && n.inFlight == 0);
  }

  /** Records that an attempt of a request begins at a node. */
  public void onAttemptSent(Request request, Node node) {
    Attempt attempt =
        new Attempt(node, now, ++node.inFlight, request.requestClass, request.attemptCount++);
    request.inFlight.add(attempt);
    inFlightAtCaches += node.origin ? 0 : 1;
    node.attempts.add(attempt);
  }

  /** Records that an attempt of a request has ended; an answer shows its node at work. */
  public void onAttemptEnded(Request request, Attempt attempt, boolean answered) {
    request.inFlight.remove(attempt);
    attempt.ended = true;
    attempt.node.inFlight--;
    inFlightAtCaches -= attempt.node.origin ? 0 : 1;
    attempt.node.lastAnswerAt = answered ? now : attempt.node.lastAnswerAt;
  }
}
