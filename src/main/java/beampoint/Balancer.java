package beampoint;

import java.util.List;

/**
 * The interface of the decision module: what it is told at its start, the events it is given and the
 * actions it answers with. All times are milliseconds on one clock that only moves forward.
 */
public interface Balancer {

  /** Takes one event at the given time and returns the actions to carry out, in order. */
  List<Action> handle(double now, Event event);

  /** How far a request may be repeated once it may have run. */
  enum Idempotency { SAFE, KEYED, UNSAFE }

  /** Which endpoints drop the repeats of a keyed request. */
  enum DedupGroup {
    ALL, ZONE, CELL;

    /** True where an endpoint drops the repeats of what another may have carried out. */
    public boolean covers(Endpoint first, Endpoint next) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> first.zone() == next.zone();
        case CELL -> first.cell() == next.cell();
      };
    }
  }

  /** What an endpoint's list weight stands for. */
  enum WeightSource { NONE, NOMINAL, ROUGH, LIVE }

  /** How an endpoint stands in the list. */
  enum EndpointState { RUNNING, DRAINING, GONE }

  /**
   * What a list event holds. One that is unconfirmed is remembered by a proxy whose discovery has told
   * changes that this process has not received yet: any of its caches may drain or be gone.
   */
  enum ListKind { CHANGES, FULL, REMEMBERED, UNCONFIRMED, UNAVAILABLE }

  /** How an attempt or a probe ended. */
  enum Result {
    OK(false), ERROR(false), TIMEOUT(false), RESET(false), CANCELLED(false),
    FULL(true), CONNECT_FAILED(true), NOT_SENT(true), MISS(true);

    /** True where this result proves that nothing was carried out. */
    public final boolean neverRan;

    Result(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /** A class of requests; a worth is earned in full until the aim, in part until the deadline. */
  record RequestClass(Idempotency idempotency, DedupGroup group, double dedupWindow, double aim,
      double deadline, double worth, double lateWorth) {

    // Written out, as the platform builds a record's own at the first use, which is a part of every start.
    @Override
    public boolean equals(Object other) {
      return other instanceof RequestClass that && idempotency == that.idempotency && group == that.group
          && Double.compare(dedupWindow, that.dedupWindow) == 0 && Double.compare(aim, that.aim) == 0
          && Double.compare(deadline, that.deadline) == 0 && Double.compare(worth, that.worth) == 0
          && Double.compare(lateWorth, that.lateWorth) == 0;
    }

    @Override
    public int hashCode() {
      return Double.hashCode(aim) + 31 * Double.hashCode(deadline);
    }
  }

  /** A tenant's quota: requests a second over all balancers together. */
  record Tenant(double quotaPerSecond) {}

  /** What a site allows a balancer to do. */
  record Limits(int maxAttempts, boolean secondCopies, boolean probes, boolean retryAdvice,
      double maxRetryAfter, double connectTimeout) {}

  /**
   * What is charged, of a request's worth: a hundred connections held a cache, a new connection, a probe, an
   * attempt that crosses zones.
   */
  record Prices(double connection, double handshake, double probe, double crossZone) {}

  /** The figures of the rules on drains, cold endpoints and asking for the list. */
  record Rules(double drainGrace, double fallMultiple, double fallWindow, double coldFrom, double warmUp,
      double askEvery) {

    /** The part of its capacity that an endpoint of this age has at the least. */
    public double warmth(double age) {
      return age >= warmUp ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, age) / warmUp;
    }
  }

  /** What an instance is told at its start. An origin kind below 0 means that there is no origin. */
  record Settings(long seed, int siblings, int zone, boolean listPushed, WeightSource weightSource,
      int originKind, double overShareWorth, Limits limits, Rules rules, Prices prices,
      List<RequestClass> classes, List<Tenant> tenants) {

    /** The same for another number of balancers. */
    public Settings withSiblings(int number) {
      return new Settings(seed, number, zone, listPushed, weightSource, originKind, overShareWorth, limits,
          rules, prices, classes, tenants);
    }
  }

  /** An entry of the endpoint list; startedAt is 0 for an endpoint that started long ago. */
  record Endpoint(String id, int zone, int kind, int cell, EndpointState state, double weight,
      double startedAt) {

    /** The same endpoint once a full list lacks it. */
    public Endpoint gone() {
      return new Endpoint(id, zone, kind, cell, EndpointState.GONE, weight, startedAt);
    }
  }

  /**
   * What an endpoint last said of its load, late and a little noisy: requests that wait, and the part of its
   * cores that is busy (0 to 1). What it does not tell is NaN, never 0; without a report there is no Load.
   */
  record Load(double queue, double utilisation) {}

  /** What a balancer observes. */
  sealed interface Event permits ListReceived, RequestReceived, AttemptStarted, AttemptEnded, RequestGone,
      TimerFired, ProbeEnded, BanChanged, ShareChanged, SettingsChanged {}

  /** The endpoint list, whole or in part. */
  record ListReceived(ListKind kind, List<Endpoint> endpoints) implements Event {}

  /**
   * A client's request; one final answer is owed before notAfter. A key below 0 means that it has none. Again
   * tells that its client marked it as asked before; many clients mark none. Overflow tells that the proxy
   * has no memory to let it wait: it can only be refused.
   */
  record RequestReceived(long id, double notAfter, int tenant, int requestClass, long key, boolean write,
      boolean again, boolean overflow) implements Event {

    /** One that can wait. */
    public RequestReceived(long id, double notAfter, int tenant, int requestClass, long key, boolean write,
        boolean again) {
      this(id, notAfter, tenant, requestClass, key, write, again, false);
    }

    /** From a client that marks nothing. */
    public RequestReceived(long id, double notAfter, int tenant, int requestClass, long key, boolean write) {
      this(id, notAfter, tenant, requestClass, key, write, false);
    }
  }

  /** A streamed answer has begun; the attempt belongs to the client from here on. */
  record AttemptStarted(long id, int attempt) implements Event {}

  /**
   * An attempt's one outcome; done tells that the request has had its final answer. The load is null where
   * none was reported.
   */
  record AttemptEnded(long id, int attempt, String endpoint, double elapsed, Result result, boolean done,
      Load load) implements Event {

    /** From a host that gets no reports. */
    public AttemptEnded(long id, int attempt, String endpoint, double elapsed, Result result, boolean done) {
      this(id, attempt, endpoint, elapsed, result, done, null);
    }
  }

  /** The client has left; nothing more is owed. */
  record RequestGone(long id) implements Event {}

  /** A timer set earlier is due. */
  record TimerFired(long token) implements Event {}

  /** A probe's outcome. */
  record ProbeEnded(String endpoint, Result result, double elapsed) implements Event {}

  /** Operators took an endpoint out at the given time, whatever the list says, or use it again. */
  record BanChanged(String endpoint, boolean out, double at) implements Event {}

  /** Of what this balancer may send cold endpoints, the part that is its own: others stand in for it. */
  record ShareChanged(double part) implements Event {}

  /**
   * New settings, and for each class and tenant its place in those before, or -1. Requests that are open
   * keep the rules with which they were taken.
   */
  record SettingsChanged(Settings settings, List<Integer> formerClasses, List<Integer> formerTenants)
      implements Event {}

  /** What a balancer may do. */
  sealed interface Action permits Send, Refuse, Fail, Cancel, SetTimer, Probe, CloseIdle, FollowList,
      Log {}

  /**
   * Starts an attempt; a limit of 0 lasts until the client gives up. It must not begin after startBy: a
   * connection may come up late.
   */
  record Send(long id, String endpoint, double timeout, double startBy) implements Action {

    /** One that may begin whenever its connection is there. */
    public Send(long id, String endpoint, double timeout) {
      this(id, endpoint, timeout, Double.POSITIVE_INFINITY);
    }
  }

  /** Final answer: not done, a retry is harmless. A wait of 0 gives no advice. */
  record Refuse(long id, double retryAfter) implements Action {}

  /** Final answer: failed, promising nothing. */
  record Fail(long id) implements Action {}

  /** Gives up one attempt. */
  record Cancel(long id, int attempt) implements Action {}

  /** Asks for a {@link TimerFired}. */
  record SetTimer(double delay, long token) implements Action {}

  /** Asks an endpoint for a sign of life. */
  record Probe(String endpoint) implements Action {}

  /** Closes the idle connections to an endpoint. */
  record CloseIdle(String endpoint) implements Action {}

  /** Asks for the changes of the list from now on. */
  record FollowList() implements Action {}

  /** A line for on-call staff. */
  record Log(String text) implements Action {}
}
