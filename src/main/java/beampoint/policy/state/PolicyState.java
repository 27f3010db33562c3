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

/** State that the parts of a balancer share: settings, nodes, observations. Times are in ms. */
public final class PolicyState {

  /** The settings in force; an open request may have begun under earlier ones. */
  public Settings settings;
  /** Sum of all tenants' quotas, in requests per second. */
  public double totalQuota;
  /** Seeded by the first settings. */
  public Random random;
  /** Actions that follow from the current event, in order. */
  public final List<Action> actions = new ArrayList<>();
  /** Time of the current event. */
  public double now;
  /** Time of the first event. */
  public double startedAt = Double.POSITIVE_INFINITY;
  /** All nodes by endpoint id. */
  public final Map<String, Node> nodes = new TreeMap<>();
  /** The running caches. */
  public final List<Node> caches = new ArrayList<>();
  /** Number of the zones of the running caches. */
  public int zones;
  /** The greatest weight listed for each type of machine. */
  public final Map<Integer, Double> maxWeights = new HashMap<>();
  /** The running origin, or null. */
  public Node origin;
  /** Attempts in flight at caches. */
  public int inFlightAtCaches;
  /** Counts the requests received. */
  public final DecayingMean requestCounter = new DecayingMean();
  /** Logarithms of the times of attempts at caches. */
  public final DecayingMean logTimes = new DecayingMean();
  /** Share of timeouts among the attempts at caches. */
  public final DecayingMean timeouts = new DecayingMean();
  /** Share of failures among the attempts at caches and the probes. */
  public final DecayingMean failures = new DecayingMean();
  /** Share of timeouts among the attempts at the origin. */
  public final DecayingMean originTimeouts = new DecayingMean();
  /** Load that caches reported, 0 to 1. */
  public final DecayingMean reportedLoad = new DecayingMean();
  /** 1 for each attempt that ended with OK, 0 for each other one. */
  public final DecayingMean served = new DecayingMean();
  /** Peak rate of OK answers, per ms, with slow decay. */
  public double peakServedRate;
  /**
   * This process's fraction of the rate allowed to cold caches; below 1 while two processes of the same
   * balancer serve together, as during an upgrade.
   */
  public double coldShare = 1;
  public final RingPoints ringPoints = new RingPoints();
  /** Time at which points of warming caches are to be added. */
  public double ringUpdateAt = Double.POSITIVE_INFINITY;
  /** Recent requests for each bucket. */
  public BucketFrequency bucketFrequency;
  /** Time since which the origin has had room. */
  public double originHasRoomSince = Double.NEGATIVE_INFINITY;
  /** Usage of each tenant. */
  public List<TenantUsage> usages = List.of();
  /** For each class, the time left at the arrival of its requests, as a fraction of the class's deadline. */
  public final Map<RequestClass, DecayingMean> timeLeftFractions = new HashMap<>();
  /** True once a client has marked a request as a retry. */
  public boolean clientsMarkRetries;
  /** Number of scheduled retries of the subscription to the host list. */
  public long subscriptionRetries;
  /**
   * True once a list other than a remembered one has come, until a retry of the subscription is scheduled.
   */
  public boolean listReceived;
  /** True while the host list may lack drains that discovery has announced. */
  public boolean listUnconfirmed;
  /** Bans by endpoint id; an ended ban is kept until the endpoint has warmed up. */
  private final Map<String, Ban> bans = new TreeMap<>();

  /** Applies new settings; the observed usage of each tenant is kept. */
  public void apply(SettingsChanged e) {
    random = settings == null ? new Random(e.settings().seed()) : random;
    settings = e.settings();
    totalQuota = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    usages = e.formerTenants().stream().map(n -> n < 0 ? new TenantUsage() : usages.get(n)).toList();
    timeLeftFractions.keySet().retainAll(settings.classes());
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

  /** Begins or ends a ban. A ban is ended only by operators, never by a list event. */
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

  /** Records that an attempt of a request has ended, and the time if its node answered. */
  public void onAttemptEnded(Request request, Attempt attempt, boolean answered) {
    request.inFlight.remove(attempt);
    attempt.ended = true;
    attempt.node.inFlight--;
    inFlightAtCaches -= attempt.node.origin ? 0 : 1;
    attempt.node.lastAnswerAt = answered ? now : attempt.node.lastAnswerAt;
  }
}
