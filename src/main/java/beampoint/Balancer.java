package beampoint;

import java.util.List;

/**
 * The decision logic of one balancer: its settings, the events that it handles and the actions that it
 * returns. All times are in ms on one monotonic clock.
 */
public interface Balancer {

  /** Handles one event at the given time and returns the actions to carry out, in order. */
  List<Action> handle(double now, Event event);

  /** Whether a request that may have run may be sent again. */
  enum Idempotency {
    /** May always be repeated. */
    SAFE,
    /** May be repeated only at endpoints that drop repeats, within the dedup window. */
    KEYED,
    /** May never be repeated. */
    UNSAFE
  }

  /**
   * The group of endpoints that share their record of keyed requests: each of them drops a repeat of a
   * request that another one of the group may have run.
   */
  enum DedupGroup {
    /** All endpoints. */
    ALL,
    /** The endpoints of one zone. */
    ZONE,
    /** The endpoints of one cell. */
    CELL;

    /** True if {@code next} drops repeats of a request that {@code first} may have run. */
    public boolean covers(Endpoint first, Endpoint next) {
      return switch (this) {
        case ALL -> true;
        case ZONE -> first.zone() == next.zone();
        case CELL -> first.cell() == next.cell();
      };
    }
  }

  /** The meaning of the weights in the host list. */
  enum WeightSource {
    /** Weights carry no information: each is 1. */
    NONE,
    /** The size of the endpoint as registered. */
    NOMINAL,
    /** The approximate size of the endpoint. */
    ROUGH,
    /**
     * The size of the endpoint, divided by 1 + the requests that it held per core some time ago. Such a
     * weight follows the load and differs between lists.
     */
    LIVE
  }

  /** The state of an endpoint in the host list. */
  enum EndpointState { RUNNING, DRAINING, GONE }

  /** The content of a list event. */
  enum ListKind {
    /** Changes of the host list. */
    CHANGES,
    /** The full host list. */
    FULL,
    /** A list remembered from before the start. */
    REMEMBERED,
    /**
     * A remembered list after which discovery has announced changes that this process has not received yet:
     * any of its caches may be draining or gone.
     */
    UNCONFIRMED,
    /** No list: the subscription failed, was refused or broke. */
    UNAVAILABLE
  }

  /** How an attempt or a probe ended. */
  enum Result {
    /** An answer with a value. */
    OK(false),
    /** An answer that reports an error. */
    ERROR(false),
    /** No answer within the timeout. */
    TIMEOUT(false),
    /** The connection broke after the request was sent. */
    RESET(false),
    /** The attempt was cancelled. */
    CANCELLED(false),
    /** The endpoint rejected the request because its queue is full. */
    FULL(true),
    /** No connection to the endpoint could be established. */
    CONNECT_FAILED(true),
    /** The proxy did not send the request, for example because its latest start had passed. */
    NOT_SENT(true),
    /** An answer was received in part and discarded, as the proxy had no memory for it. */
    DISCARDED(false),
    /** The cache does not hold the key. */
    MISS(true);

    /** True if this result proves that the request was not executed. */
    public final boolean neverRan;

    Result(boolean neverRan) {
      this.neverRan = neverRan;
    }

    /** True if the endpoint answered the request in time, whatever became of its answer. */
    public boolean isAnswer() {
      return this == OK || this == MISS || this == DISCARDED;
    }
  }

  /** Why a request was refused or failed; for the log and the counters. */
  enum GiveUpReason {
    /** No endpoint to which the request may go has room for it. */
    NO_ROOM,
    /** The proxy can't hold the request while it waits. */
    NOT_QUEUED,
    /** An answer would come too late to be of use. */
    TIME_OVER,
    /** All attempts that it may have were made. */
    NO_ATTEMPTS_LEFT,
    /** Too many retries of late. */
    RETRIES_LIMITED,
    /** The proxy itself had no connection, time or memory left for its attempt. */
    OUT_OF_RESOURCES,
    /** The module has given no reason. */
    NOT_STATED
  }

  /**
   * A class of requests. An answer within the target time {@code aim} is worth {@code worth}; a later one
   * within {@code deadline} is worth the fraction {@code lateWorth} of that. Both times count from the
   * arrival of the request. The endpoints of {@code group} drop repeats of a keyed request for
   * {@code dedupWindow}.
   */
  record RequestClass(Idempotency idempotency, DedupGroup group, double dedupWindow, double aim,
      double deadline, double worth, double lateWorth) {

    // Written by hand to shorten the start of a process: the JVM generates the equals and hashCode of a
    // record at run time, at their first use.
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
   * What a site allows a balancer to do: a number of attempts for each request, hedged requests, probes, and
   * advice to clients to retry after at most {@code maxRetryAfter} ms. {@code connectTimeout} is the time in
   * ms for establishing a connection.
   */
  record Limits(int maxAttempts, boolean hedgedRequests, boolean probes, boolean retryAdvice,
      double maxRetryAfter, double connectTimeout) {}

  /**
   * Costs, as fractions of the worth of a request. {@code connection}: what each request at a cache loses for
   * every hundred connections held to that cache. {@code handshake}: a new connection. {@code probe}: one
   * probe. {@code crossZone}: one attempt at an endpoint of another zone.
   */
  record Prices(double connection, double handshake, double probe, double crossZone) {}

  /**
   * Limits for drains, cold endpoints and list subscriptions. Once the balancer is informed of a drain or
   * removal, new attempts may begin at the endpoint for another {@code drainGrace} ms. A cold endpoint fails
   * if, within {@code fallWindow}, it is sent more than {@code fallMultiple} times what it can serve at its
   * current warmth. Its capacity grows linearly from the fraction {@code coldFrom} to 1 during
   * {@code warmUp}. {@code askEvery} is the interval from which the retry delay of a list subscription is
   * derived.
   */
  record Rules(double drainGrace, double fallMultiple, double fallWindow, double coldFrom, double warmUp,
      double askEvery) {

    /** The smallest fraction of its full capacity that an endpoint of this age has. */
    public double warmth(double age) {
      return age >= warmUp ? 1 : coldFrom + (1 - coldFrom) * Math.max(0, age) / warmUp;
    }
  }

  /**
   * The settings of a balancer. {@code siblings} is the number of balancers, this one included;
   * {@code overShareWorth} is the fraction of its worth that a request beyond its tenant's share has. An
   * {@code originKind} below 0 means that there is no origin.
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

  /**
   * An entry of the host list. {@code kind} is the type of machine; the type {@code Settings.originKind}
   * marks origins. {@code cell} is the dedup cell. {@code weight} has the meaning of {@link WeightSource}.
   * {@code startedAt} is 0 for an endpoint that started long ago.
   */
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

  /** The full host list or changes to it. */
  record ListReceived(ListKind kind, List<Endpoint> endpoints) implements Event {}

  /**
   * A client's request, which needs exactly one final answer before {@code deadline}. A key below 0 means
   * that it has none. {@code markedAsRetry} is set where the client marked it as a retry; many clients mark
   * none. {@code overflow} means that the proxy has no memory to hold it while it waits, so it can only be
   * refused.
   */
  record RequestReceived(long id, double deadline, int tenant, int requestClass, long key, boolean write,
      boolean markedAsRetry, boolean overflow) implements Event {

    /** A request for which the proxy has memory. */
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

  /** Operators banned an endpoint, or ended its ban, at the given time; a ban overrides the host list. */
  record BanChanged(String endpoint, boolean out, double at) implements Event {}

  /**
   * The fraction (0 to 1) of this balancer's rate limit for cold endpoints that this process may use while
   * other processes of the same balancer run.
   */
  record ColdShareChanged(double part) implements Event {}

  /**
   * New settings, and for each of their classes and tenants its index in the former ones, or -1. Open
   * requests keep the rules that were in force when they were received.
   */
  record SettingsChanged(Settings settings, List<Integer> formerClasses, List<Integer> formerTenants)
      implements Event {}

  /** What a balancer can request to be done; the result of {@link #handle}. */
  sealed interface Action permits Send, Refuse, Fail, Cancel, SetTimer, Probe, CloseIdle, SubscribeToList,
      Log {}

  /**
   * Starts an attempt. The timeout is the time in ms in which the reply must begin. A reply that has begun is
   * awaited until the client gives up, and so is any reply if the timeout is 0. If the request can't have
   * reached the endpoint by {@code arriveBy}, it must not reach it any more.
   */
  record Send(long id, String endpoint, double timeout, double arriveBy) implements Action {

    /** An attempt without a latest arrival. */
    public Send(long id, String endpoint, double timeout) {
      this(id, endpoint, timeout, Double.POSITIVE_INFINITY);
    }
  }

  /** Final answer: not executed, or harmless to retry. A {@code retryAfter} of 0 gives no advice. */
  record Refuse(long id, double retryAfter, GiveUpReason reason) implements Action {

    /** A refusal of which the reason is not stated. */
    public Refuse(long id, double retryAfter) {
      this(id, retryAfter, GiveUpReason.NOT_STATED);
    }
  }

  /** Final answer: failed; the request may have been executed. */
  record Fail(long id, GiveUpReason reason) implements Action {

    /** A failure of which the reason is not stated. */
    public Fail(long id) {
      this(id, GiveUpReason.NOT_STATED);
    }
  }

  /** Cancels one attempt. */
  record Cancel(long id, int attempt) implements Action {}

  /** Requests a {@link TimerFired} after a delay. */
  record SetTimer(double delay, long token) implements Action {}

  /** Checks whether an endpoint answers. */
  record Probe(String endpoint) implements Action {}

  /** Closes the idle connections to an endpoint. */
  record CloseIdle(String endpoint) implements Action {}

  /** Subscribes to changes of the host list. */
  record SubscribeToList() implements Action {}

  /** Writes a log line for operators. */
  record Log(String text) implements Action {}
}
