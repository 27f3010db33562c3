package beampoint.exchange;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.memcache.Command;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * One request: the client's command, the number of attempts made for it, and its final answer, of which there
 * is exactly one. It is the only link between the client side and the upstream side. Confined to the decision
 * thread.
 */
public final class Exchange {

  private final long id;
  private final Command command;
  private final double deadline;
  private final int maxAttempts;
  private final BooleanSupplier clientGone;
  private final Consumer<Answer> onAnswer;
  private final Counters counters;
  private boolean over;
  private int attempts;
  private int attemptsInFlight;
  private AttemptReport lastAttempt;
  private boolean mayHaveRun;
  private boolean claimsId;
  private double lastEventAt;

  /**
   * A request that has no attempts yet.
   *
   * @param deadline when the client stops waiting, in ms on the proxy's clock
   * @param clientGone returns true once the client's connection has ended
   * @param onAnswer receives the final answer
   */
  public Exchange(long id, Command command, double deadline, int maxAttempts, BooleanSupplier clientGone,
      Consumer<Answer> onAnswer, Counters counters) {
    this.id = id;
    this.command = command;
    this.deadline = deadline;
    this.maxAttempts = maxAttempts;
    this.clientGone = clientGone;
    this.onAnswer = onAnswer;
    this.counters = counters;
  }

  /** The id of the request in the decision module's events and actions. */
  public long id() {
    return id;
  }

  public Command command() {
    return command;
  }

  /** When the client stops waiting, in ms on the proxy's clock. */
  public double deadline() {
    return deadline;
  }

  /** The maximum number of attempts, by the settings that were in force when the request was received. */
  public int maxAttempts() {
    return maxAttempts;
  }

  /** True once the final answer was given or the client has disconnected. */
  public boolean isOver() {
    return over;
  }

  /** False once it is over, or the client's connection has ended even if that event is not handled yet. */
  public boolean isClientWaiting() {
    return !over && !clientGone.getAsBoolean();
  }

  /** How many attempts have started and not ended. */
  public int attemptsInFlight() {
    return attemptsInFlight;
  }

  /**
   * Records that the decision module gets an event of this request.
   *
   * @param now in ms on the proxy's clock
   */
  public void setLastEventAt(double now) {
    lastEventAt = now;
  }

  /** When the decision module last got an event of this request, in ms on the proxy's clock; 0 if never. */
  public double lastEventAt() {
    return lastEventAt;
  }

  /** Gives the client its final answer; returns false, and has no effect, if the request is over. */
  public boolean answer(Answer answer) {
    if (over) {
      if (answer.stream() != null) {
        answer.stream().cancel(); // else the value would wait for a client that has gone
      }
      return false;
    }
    over = true;
    Counter counter = switch (answer.kind()) {
      case VALUE, RECEIPT -> Counter.ANSWERED_SERVED;
      case REFUSED -> Counter.ANSWERED_REFUSED;
      case FAILED -> Counter.ANSWERED_FAILED;
    };
    counters.add(counter);
    onAnswer.accept(answer);
    return true;
  }

  /** The client has disconnected and needs no answer. Returns false if the request was over before. */
  public boolean abandon() {
    boolean wasOpen = !over;
    over = true;
    return wasOpen;
  }

  /** Counts one more attempt and returns its number. */
  public int beginAttempt() {
    attemptsInFlight++;
    return attempts++;
  }

  /** Counts one attempt in flight less, and keeps its report. */
  public void endAttempt(AttemptReport report) {
    counters.check(attemptsInFlight > 0, "an attempt that ends was in flight");
    attemptsInFlight--;
    lastAttempt = report;
    mayHaveRun |= !report.result().neverRan;
  }

  /** True once an attempt has ended that may have been executed. */
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Notes that the request holds the claim of its id. */
  public void setClaimsId() {
    claimsId = true;
  }

  /** True if the request holds the claim of its id, so that no other may run under it. */
  public boolean claimsId() {
    return claimsId;
  }

  /** The report of the attempt that ended last; null if none has. */
  public AttemptReport lastAttempt() {
    return lastAttempt;
  }
}
