package beampoint.client;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.RequestHandler;
import beampoint.memcache.Command;
import beampoint.memcache.Command.Kind;

/** The answers that a client gets without a request to a server. Confined to the decision thread. */
record DirectAnswers(RequestHandler requestHandler, Counters counters, AnswerLimits limits) {

  /** The answer to a command that can't be queued. */
  String immediate(Command command) {
    if (!command.isRequest()) {
      return local(command);
    }
    String problem = rejection(command);
    return problem != null ? problem : AnswerText.errorLine(requestHandler.refuse(command));
  }

  /** The answer to a command that is not a request. */
  String local(Command command) {
    return switch (command.kind()) {
      case READY -> requestHandler.isReady() ? "MN" : "SERVER_ERROR not ready";
      case STATS -> AnswerText.stats(counters);
      case VERSION -> "VERSION beampoint";
      default -> {
        counters.add(Counter.BAD_COMMANDS);
        yield command.problem();
      }
    };
  }

  /** The error line for an invalid request, which is released and counted, or null if it is valid. */
  String rejection(Command command) {
    String problem = requestHandler.rejectionReason(command);
    if (problem == null) {
      return null;
    }
    command.release();
    counters.add(Counter.BAD_COMMANDS);
    return "CLIENT_ERROR " + problem;
  }

  /** True if a valid request can't be started, as there is no memory for its value or its answer. */
  boolean hasNoMemory(Command command) {
    return command.kind() == Kind.READ ? limits.mustRefuseReads() : command.isValueDiscarded();
  }
}
