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

/** What the parts of the decision module share: time, settings, who is there, what was seen. */
public final class PolicyState {

  /** In force; an open request may have been taken under others. */
  public Settings settings;
  /** Of all tenants together, requests a second. */
  public double quotas;
  /** Seeded by the first settings. */
  public Random random;
  /** What is to be done after the event at hand, in order. */
  public final List<Action> out = new ArrayList<>();
  /** The time of the event at hand, and of the first, in ms. */
  public double now;
  public double startedAt = Double.POSITIVE_INFINITY;
  /** All endpoints by name, and the caches that run, with the number of their zones. */
  public final Map<String, Node> nodes = new TreeMap<>();
  public final List<Node> caches = new ArrayList<>();
  public int zones;
  /** The greatest weight listed for each kind of machine. */
  public final Map<Integer, Double> sizes = new HashMap<>();
  /** Null where none runs. */
  public Node origin;
  /** Attempts at caches without an outcome. */
  public int outAtCaches;
  /** Requests that were taken. */
  public final DecayingMean taken = new DecayingMean();
  /** Of caches: logarithms of times, attempts that ran out of time, and what came to nothing, of all. */
  public final DecayingMean times = new DecayingMean();
  public final DecayingMean late = new DecayingMean();
  public final DecayingMean bad = new DecayingMean();
  /** Attempts at the origin that ran out of time, of all. */
  public final DecayingMean lateOrigin = new DecayingMean();
  /** How busy caches said they are, 0 to 1. */
  public final DecayingMean busy = new DecayingMean();
  /** Attempts that brought an answer, of all, and the most of them, in requests a millisecond. */
  public final DecayingMean served = new DecayingMean();
  public double servedAtBest;
  /** Of what one balancer may send cold caches: two may stand for one. */
  public double share = 1;
  public final RingPoints points = new RingPoints();
  /** When the points change by the clock. */
  public double pointsDueAt = Double.POSITIVE_INFINITY;
  /** Recent requests of each bucket. */
  public BucketFrequency frequency;
  /** Since when the origin has had room. */
  public double roomSince = Double.NEGATIVE_INFINITY;
  /** Of each tenant, and how long clients of each class wait, as a part of the class's time. */
  public List<TenantUsage> usages = List.of();
  public final Map<RequestClass, DecayingMean> patience = new HashMap<>();
  /** Clients mark what they ask again. */
  public boolean marks;
  /** Calls for the list, and whether it has come since the last. */
  public long listCalls;
  public boolean listed;
  /** The list may lack drains of which discovery has told. */
  public boolean listUnconfirmed;
  private final Map<String, Ban> bans = new TreeMap<>(); // by endpoint, until one that came back is warm

  /** Takes new settings; what was learnt goes with its tenant. */
  public void take(SettingsChanged e) {
    random = settings == null ? new Random(e.settings().seed()) : random;
    settings = e.settings();
    quotas = settings.tenants().stream().mapToDouble(Tenant::quotaPerSecond).sum();
    usages = e.formerTenants().stream().map(n -> n < 0 ? new TenantUsage() : usages.get(n)).toList();
    patience.keySet().retainAll(settings.classes());
  }

  /** Takes what the list says; one that is gone is known until nothing is out there. */
  public void take(ListReceived e) {
    listUnconfirmed = e.kind() == ListKind.UNCONFIRMED;
    if (e.kind() == ListKind.FULL) {
      nodes.values().forEach(n -> n.entry = n.entry.gone());
    }
    for (Endpoint entry : e.endpoints()) {
      Node node = nodes.computeIfAbsent(entry.id(), id -> new Node());
      node.take(entry, entry.kind() == settings.originKind(), bans.getOrDefault(entry.id(), Ban.NONE));
      sizes.merge(entry.kind(), Math.max(0, entry.weight()), Math::max);
    }
    count();
  }

  /** Whatever the list says meanwhile, what operators took out stays out until they call it back. */
  public void take(BanChanged e) {
    Ban ban = bans.getOrDefault(e.endpoint(), Ban.NONE);
    bans.values().removeIf(b -> now - b.until() > settings.rules().warmUp());
    if (ban.isOut() != e.out()) {
      ban = e.out() ? new Ban(e.at(), Double.POSITIVE_INFINITY) : new Ban(ban.since(), e.at());
      bans.put(e.endpoint(), ban);
    }
    Node node = nodes.get(e.endpoint());
    if (node != null) {
      node.take(node.entry, node.origin, ban);
    }
    count();
  }

  private void count() {
    caches.clear();
    origin = null;
    for (Node node : nodes.values()) {
      if (node.isCache()) {
        caches.add(node);
      } else if (origin == null && node.origin && node.entry.state() == EndpointState.RUNNING) {
        origin = node;
      }
    }
    zones = (int) caches.stream().mapToInt(n -> n.entry.zone()).distinct().count();
  }

  /** Forgets who is gone and has nothing out. */
  public void forgetGone() {
    nodes.values().removeIf(n -> n.entry.state() == EndpointState.GONE && n.inFlight == 0);
  }

  /** An attempt of a request begins. */
  public void sent(Request r, Node node) {
    Attempt attempt = new Attempt(node, now, ++node.inFlight, r.type, r.attempts++);
    r.out.add(attempt);
    outAtCaches += node.origin ? 0 : 1;
    node.flights.add(attempt);
  }

  /** An attempt of a request has ended; an answer shows its endpoint at work. */
  public void completed(Request r, Attempt attempt, boolean answered) {
    r.out.remove(attempt);
    attempt.over = true;
    attempt.node.inFlight--;
    outAtCaches -= attempt.node.origin ? 0 : 1;
    attempt.node.answeredAt = answered ? now : attempt.node.answeredAt;
  }
}
