package beampoint.client;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Answer;
import beampoint.memcache.Command;
import beampoint.memcache.Writer;
import org.glassfish.grizzly.Buffer;

/** The text of answers to clients. */
final class AnswerText {

  private AnswerText() {}

  /** A whole answer to a request. */
  static Buffer message(Writer writer, Command command, Answer answer) {
    return switch (answer.kind()) {
      case VALUE -> writer.value(command.id(), answer.body());
      case RECEIPT -> writer.receipt(command.id(), answer.body());
      case REFUSED, FAILED -> writer.line(errorLine(answer));
    };
  }

  /** The line of an answer without a value or a receipt. */
  static String errorLine(Answer answer) {
    if (answer.kind() == Answer.Kind.FAILED) {
      return "SERVER_ERROR failed";
    }
    return answer.retryAfterMs() > 0 ? "SERVER_ERROR busy " + answer.retryAfterMs() : "SERVER_ERROR busy";
  }

  /** All counters, a line each. */
  static String stats(Counters counters) {
    StringBuilder text = new StringBuilder();
    for (Counter counter : Counter.values()) {
      text.append("STAT ").append(Counters.name(counter)).append(' ').append(counters.get(counter))
          .append("\r\n");
    }
    return text.append("END").toString();
  }
}
