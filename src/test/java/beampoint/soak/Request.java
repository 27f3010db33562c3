package beampoint.soak;

import java.util.ArrayList;
import java.util.List;

/** One request and its events, as recorded by its client and the peers. All times are in ms of the run. */
final class Request {

  /** A request class of the settings. */
  enum Kind {
    READ("read", false), KEYED("put", true), UNSAFE("post", true);

    final String className;
    final boolean write;

    Kind(String className, boolean write) {
      this.className = className;
      this.write = write;
    }
  }

  /** An attempt that a peer has received completely: when, which peer, and the deadline it carried in ms. */
  record Attempt(double at, String peer, double deadlineMs) {}

  private static final int LONG_VALUE_BYTES = 100_000; // over 64 KiB a value is streamed

  final String id;
  final Kind kind;
  final double deadlineMs; // from the sending of the request
  private double sentAt = Double.POSITIVE_INFINITY; // when its last byte was sent
  private double readingSince; // since when its client has been ready to read the answer
  private double answeredAt = Double.NaN;
  private double clientClosedAt = Double.POSITIVE_INFINITY;
  private double connectionEndedAt = Double.NaN; // when its connection ended without an answer
  private double slowReplyDueAt = Double.NaN; // when the last byte of a reply that has begun is to be sent
  private boolean served;
  private int answers;
  private boolean wrongAnswer;
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<Double> effects = new ArrayList<>();

  Request(String id, Kind kind, double deadlineMs) {
    this.id = id;
    this.kind = kind;
    this.deadlineMs = deadlineMs;
  }

  /** The command line that a client sends and, for a write, the value. */
  String command() {
    String list = " O" + id + " Pc=" + kind.className + ",t=acme,d=" + Math.round(deadlineMs);
    String key = id.substring(id.length() - 2);
    return switch (kind) {
      case READ -> "mg k" + key + " v" + list + "\r\n";
      case KEYED -> "ms k" + key + " 5" + list + ",k=" + id + "\r\nhello\r\n";
      case UNSAFE -> "ms k" + key + " 5" + list + "\r\nhello\r\n";
    };
  }

  synchronized void recordSent(double now) {
    sentAt = now;
    readingSince = now;
  }

  /** The client reads since {@code now}; an answer that came before counts from then. */
  synchronized void setReadingSince(double now) {
    readingSince = now;
  }

  /** The value of a long reply: its id again and again. */
  String longValue() {
    return id.repeat(LONG_VALUE_BYTES / id.length());
  }

  /** True if a value was made for this request. */
  boolean hasValue(String value) {
    return value.equals(id) || value.equals(longValue());
  }

  /** A server has begun a reply, and sends the rest of it at this time. */
  synchronized void recordSlowReply(double dueAt) {
    slowReplyDueAt = dueAt;
  }

  /** When a server is to send the rest of a reply that it has begun; NaN if there was no such reply. */
  synchronized double slowReplyDueAt() {
    return slowReplyDueAt;
  }

  /** The answer was a value or a receipt. */
  synchronized void recordServed() {
    served = true;
  }

  synchronized boolean isServed() {
    return served;
  }

  /** A complete answer has come; a wrong one is for another request or has another value than a peer sent. */
  synchronized void recordAnswer(double now, boolean isWrong) {
    answers++;
    answeredAt = now;
    wrongAnswer |= isWrong;
  }

  synchronized void recordClientClose(double now) {
    clientClosedAt = now;
  }

  /** The connection has ended without an answer to this request. */
  synchronized void recordConnectionEnd(double now) {
    connectionEndedAt = now;
  }

  /** The client sends the request again on a new connection. */
  synchronized void recordResend() {
    connectionEndedAt = Double.NaN;
  }

  synchronized void recordAttempt(Attempt attempt) {
    attempts.add(attempt);
  }

  /** Executes a write; false, with no effect, if it is dropped as a repeat within the dedup window. */
  synchronized boolean executeWrite(double now, double windowMs) {
    boolean isRepeat = kind == Kind.KEYED && !effects.isEmpty() && now - effects.get(0) <= windowMs;
    if (!isRepeat) {
      effects.add(now);
    }
    return !isRepeat;
  }

  synchronized boolean isForwarded() {
    return !attempts.isEmpty();
  }

  synchronized List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  synchronized int effects() {
    return effects.size();
  }

  synchronized int answers() {
    return answers;
  }

  synchronized boolean hasWrongAnswer() {
    return wrongAnswer;
  }

  synchronized double sentAt() {
    return sentAt;
  }

  synchronized double readingSince() {
    return readingSince;
  }

  synchronized double answeredAt() {
    return answeredAt;
  }

  synchronized double clientClosedAt() {
    return clientClosedAt;
  }

  synchronized double connectionEndedAt() {
    return connectionEndedAt;
  }

  synchronized boolean hasClientClosed() {
    return clientClosedAt < Double.POSITIVE_INFINITY;
  }
}
