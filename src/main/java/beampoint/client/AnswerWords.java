package beampoint.client;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Answer;
import beampoint.memcache.Command;
import beampoint.memcache.Writer;
import org.glassfish.grizzly.Buffer;

/** How answers are worded for clients. */
final class AnswerWords {

  private AnswerWords() {}

  /** A whole answer to a request. */
  static Buffer message(Writer writer, Command command, Answer answer) {
    return switch (answer.kind()) {
      case VALUE -> writer.value(command.id(), answer.body());
      case RECEIPT -> writer.receipt(command.id(), answer.body());
      case REFUSED, FAILED -> writer.line(ownWord(answer));
    };
  }

  /** The words of an answer that is the proxy's own. */
  static String ownWord(Answer answer) {
    if (answer.kind() == Answer.Kind.FAILED) {
      return "SERVER_ERROR failed";
    }
    return answer.waitMs() > 0 ? "SERVER_ERROR busy " + answer.waitMs() : "SERVER_ERROR busy";
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
