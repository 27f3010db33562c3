package beampoint.client;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Answer;
import beampoint.memcache.Command;
import beampoint.memcache.Writer;
import org.glassfish.grizzly.Buffer;

/** Formats answers to clients. */
final class AnswerText {

  private AnswerText() {}

  /** The complete answer to a request. */
  static Buffer message(Writer writer, Command command, Answer answer) {
    return switch (answer.kind()) {
      case VALUE -> writer.value(command.id(), answer.body());
      case RECEIPT -> writer.receipt(command.id(), answer.body());
      case REFUSED, FAILED -> writer.line(errorLine(answer));
    };
  }

  /** The line of a refusal or failure. */
  static String errorLine(Answer answer) {
    if (answer.kind() == Answer.Kind.FAILED) {
      return "SERVER_ERROR failed";
    }
    return answer.retryAfterMs() > 0 ? "SERVER_ERROR busy " + answer.retryAfterMs() : "SERVER_ERROR busy";
  }

  /** The answer to the stats command: all counters, one per line. */
  static String stats(Counters counters) {
    StringBuilder text = new StringBuilder();
    for (Counter counter : Counter.values()) {
      text.append("STAT ").append(Counters.name(counter)).append(' ').append(counters.get(counter))
          .append("\r\n");
    }
    return text.append("END").toString();
  }
}
