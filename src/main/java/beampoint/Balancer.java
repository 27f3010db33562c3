package beampoint;

import java.util.List;

/**
 * The interface of the decision module: its settings, the events it handles and the actions it returns. All
 * times are in ms on one monotonic clock.
 */
public interface Balancer {

  /** Handles one event at the given time and returns the actions to carry out, in order. */
  List<Action> handle(double now, Event event);

  /** Whether a request that may have run may be sent again: always, where repeats are dropped, or never. */
  enum Idempotency {
    SAFE, KEYED, UNSAFE
  }

  /** The set of endpoints that drop repeats of a keyed request which one of them may have run. */
  enum DedupGroup {
    ALL, ZONE, CELL;

    /** True where {@code next} drops repeats of a request that {@code first} may have run. */
    public boolean covers(Endpoint first, Endpoint next) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> first.zone() == next.zone();
        case CELL -> first.cell() == next.cell();
      };
    }
  }

  /** What an endpoint's list weight stands for; live weights follow its load. */
  enum WeightSource {
    NONE, NOMINAL, ROUGH, LIVE
  }

  /** The state of an endpoint in the list. */
  enum EndpointState { RUNNING, DRAINING, GONE }

  /**
   * The content of a list event: changes, the full list, a list remembered from before the start, a
   * remembered list that is unconfirmed, or none as the list can't be had. Unconfirmed means that discovery
   * has announced changes which this process has not received yet: any of the caches may drain or be gone.
   */
  enum ListKind { CHANGES, FULL, REMEMBERED, UNCONFIRMED, UNAVAILABLE }

  /** How an attempt or a probe ended. */
  enum Result {
    OK(false), ERROR(false), TIMEOUT(false), RESET(false), CANCELLED(false),
    FULL(true), CONNECT_FAILED(true), NOT_SENT(true), MISS(true);

    /** True where this result proves that the request was not executed. */
    public final boolean neverRan;

    Result(boolean neverRan) {
      this.neverRan = neverRan;
    }
  }

  /**
   * A class of requests. An answer earns {@code worth} within the target time {@code aim}, and the part
   * {@code lateWorth} of it within {@code deadline}; both times count from the request's arrival. The
   * endpoints of its group drop repeats of a keyed request for {@code dedupWindow}.
   */
  record RequestClass(Idempotency idempotency, DedupGroup group, double dedupWindow, double aim,
      double deadline, double worth, double lateWorth) {

    // Written out: the platform generates a record's own methods at their first use, in every start.
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

  /** A tenant's quota in requests per second, over all balancers together. */
  record Tenant(double quotaPerSecond) {}

  /**
   * What a site allows a balancer to do: attempts for each request, hedged requests ({@code hedgedRequests}),
   * probes, and advice on when to retry, up to {@code maxRetryAfter}.
   */
  record Limits(int maxAttempts, boolean hedgedRequests, boolean probes, boolean retryAdvice,
      double maxRetryAfter, double connectTimeout) {}

  /**
   * Costs, as parts of a request's worth: of a hundred connections held to one cache, a new connection, a
   * probe, and an attempt that crosses zones.
   */
  record Prices(double connection, double handshake, double probe, double crossZone) {}

  /**
   * Limits for drains, cold endpoints and list subscriptions. A cold endpoint fails under more than
   * {@code fallMultiple} times its present capacity within {@code fallWindow}; that capacity grows from the
   * part {@code coldFrom} to 1 during {@code warmUp}.
   */
  record Rules(double drainGrace, double fallMultiple, double fallWindow, double coldFrom, double warmUp,
      double askEvery) {

    /** The least part of its full capacity that an endpoint of this age has. */
    public double warmth(double age) {
      return age >= warmUp ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, age) / warmUp;
    }
  }

  /**
   * The settings of a balancer. {@code siblings} is the number of balancers, this one included;
   * {@code overShareWorth} is the part of its worth that a request beyond its tenant's share earns. An origin
   * kind below 0 means that there is no origin.
   */
  record Settings(long seed, int siblings, int zone, boolean listPushed, WeightSource weightSource,
      int originKind, double overShareWorth, Limits limits, Rules rules, Prices prices,
      List<RequestClass> classes, List<Tenant> tenants) {

    /** A copy for another number of balancers. */
    public Settings withSiblings(int number) {
      return new Settings(seed, number, zone, listPushed, weightSource, originKind, overShareWorth, limits,
          rules, prices, classes, tenants);
    }
  }

  /** An entry of the endpoint list; {@code startedAt} is 0 for an endpoint that started long ago. */
  record Endpoint(String id, int zone, int kind, int cell, EndpointState state, double weight,
      double startedAt) {

    /** A copy for an endpoint that is missing from a full list. */
    public Endpoint gone() {
      return new Endpoint(id, zone, kind, cell, EndpointState.GONE, weight, startedAt);
    }
  }

  /**
   * An endpoint's last load report, which is delayed and somewhat noisy: the number of queued requests, and
   * the part of its cores that is busy (0 to 1). A value that is not reported is NaN, never 0; without a
   * report there is no Load.
   */
  record Load(double queue, double utilisation) {}

  /** What a balancer observes; the argument of {@link #handle}. */
  sealed interface Event permits ListReceived, RequestReceived, AttemptStarted, AttemptEnded, RequestGone,
      TimerFired, ProbeEnded, BanChanged, ColdShareChanged, SettingsChanged {}

  /** The full endpoint list or changes to it. */
  record ListReceived(ListKind kind, List<Endpoint> endpoints) implements Event {}

  /**
   * A client's request, which needs exactly one final answer before {@code deadline}. A key below 0 means
   * that it has none. {@code markedAsRetry} is set where the client marked it as a retry; many clients mark
   * none. {@code overflow} means that the proxy has no memory to let it wait: it can only be refused.
   */
  record RequestReceived(long id, double deadline, int tenant, int requestClass, long key, boolean write,
      boolean markedAsRetry, boolean overflow) implements Event {

    /** A request that can wait. */
    public RequestReceived(long id, double deadline, int tenant, int requestClass, long key, boolean write,
        boolean markedAsRetry) {
      this(id, deadline, tenant, requestClass, key, write, markedAsRetry, false);
    }

    /** A request not marked as a retry. */
    public RequestReceived(long id, double deadline, int tenant, int requestClass, long key, boolean write) {
      this(id, deadline, tenant, requestClass, key, write, false);
    }
  }

  /** A streamed answer has begun; from here on the attempt is committed to the client. */
  record AttemptStarted(long id, int attempt) implements Event {}

  /**
   * The outcome of an attempt, exactly one for each. {@code done} means that the request has had its final
   * answer. {@code load} is null where none was reported.
   */
  record AttemptEnded(long id, int attempt, String endpoint, double elapsed, Result result, boolean done,
      Load load) implements Event {

    /** An outcome without a load report. */
    public AttemptEnded(long id, int attempt, String endpoint, double elapsed, Result result, boolean done) {
      this(id, attempt, endpoint, elapsed, result, done, null);
    }
  }

  /** The client has left; the request needs no answer any more. */
  record RequestGone(long id) implements Event {}

  /** A timer is due. */
  record TimerFired(long token) implements Event {}

  /** The outcome of a probe. */
  record ProbeEnded(String endpoint, Result result, double elapsed) implements Event {}

  /** Operators took an endpoint out of use at the given time, or put it back; this overrides the list. */
  record BanChanged(String endpoint, boolean out, double at) implements Event {}

  /** The part of this balancer's rate limit for cold endpoints that this process may use, beside others. */
  record ColdShareChanged(double part) implements Event {}

  /**
   * New settings, and for each of their classes and tenants its index in the former ones, or -1. Open
   * requests keep the rules that were in force when they were received.
   */
  record SettingsChanged(Settings settings, List<Integer> formerClasses, List<Integer> formerTenants)
      implements Event {}

  /** What a balancer can have done; the result of {@link #handle}. */
  sealed interface Action permits Send, Refuse, Fail, Cancel, SetTimer, Probe, CloseIdle, SubscribeToList,
      Log {}

  /**
   * Starts an attempt; a timeout of 0 lasts until the client gives up. The attempt must not begin after
   * {@code startBy}, since its connection may be established late.
   */
  record Send(long id, String endpoint, double timeout, double startBy) implements Action {

    /** An attempt that may begin as late as its connection is established. */
    public Send(long id, String endpoint, double timeout) {
      this(id, endpoint, timeout, Double.POSITIVE_INFINITY);
    }
  }

  /** Final answer: not executed, or harmless to retry. A {@code retryAfter} of 0 gives no advice. */
  record Refuse(long id, double retryAfter) implements Action {}

  /** Final answer: failed; the request may have been executed. */
  record Fail(long id) implements Action {}

  /** Cancels one attempt. */
  record Cancel(long id, int attempt) implements Action {}

  /** Requests a {@link TimerFired} after a delay. */
  record SetTimer(double delay, long token) implements Action {}

  /** Checks whether an endpoint answers. */
  record Probe(String endpoint) implements Action {}

  /** Closes the idle connections to an endpoint. */
  record CloseIdle(String endpoint) implements Action {}

  /** Subscribes to changes of the list. */
  record SubscribeToList() implements Action {}

  /** Writes a log line for operators. */
  record Log(String text) implements Action {}
}
