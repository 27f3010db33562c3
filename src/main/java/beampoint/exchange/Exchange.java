package beampoint.exchange;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.memcache.Command;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * One request: what the client sent, how many attempts were made for it, and its one final answer. Client
 * side and upstream side know each other only through it. Belongs to the decision thread.
 */
public final class Exchange {

  private final long id;
  private final Command command;
  private final double deadline;
  private final int maxAttempts;
  private final BooleanSupplier left;
  private final Consumer<Answer> client;
  private final Counters counters;
  private boolean over;
  private int attempts;
  private int attemptsInFlight;
  private double lastEventAt;

  public Exchange(long id, Command command, double deadline, int maxAttempts, BooleanSupplier left,
      Consumer<Answer> client, Counters counters) {
    this.id = id;
    this.command = command;
    this.deadline = deadline;
    this.maxAttempts = maxAttempts;
    this.left = left;
    this.client = client;
    this.counters = counters;
  }

  /** The number under which the decision module knows it. */
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

  /** How many attempts may be made for it, by the rules with which it was taken. */
  public int maxAttempts() {
    return maxAttempts;
  }

  /** True once it has had its final answer or its client has left. */
  public boolean isOver() {
    return over;
  }

  /** False once it is over, or its client's connection has ended though that is not told yet. */
  public boolean isClientWaiting() {
    return !over && !left.getAsBoolean();
  }

  public int attemptsInFlight() {
    return attemptsInFlight;
  }

  /** The decision module is told something of it now, in ms on the proxy's clock. */
  public void setLastEventAt(double now) {
    lastEventAt = now;
  }

  /** When the decision module was last told something of it, in ms on the proxy's clock; 0 if never. */
  public double lastEventAt() {
    return lastEventAt;
  }

  /** Gives the client its final answer; false, and nothing done, where the request is over. */
  public boolean answer(Answer answer) {
    if (over) {
      if (answer.stream() != null) {
        answer.stream().cancel(); // guards against a long value that waits for a client that has left
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
    client.accept(answer);
    return true;
  }

  /** The client has left: nothing more is owed. False where the request was over before. */
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

  public void endAttempt() {
    counters.check(attemptsInFlight > 0, "an attempt ends that was out");
    attemptsInFlight--;
  }
}
