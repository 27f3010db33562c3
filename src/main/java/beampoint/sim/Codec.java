package beampoint.sim;

import beampoint.Balancer;
import beampoint.Balancer.Action;
import beampoint.Balancer.AttemptEnded;
import beampoint.Balancer.AttemptStarted;
import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.Balancer.Event;
import beampoint.Balancer.ListKind;
import beampoint.Balancer.ProbeEnded;
import beampoint.Balancer.RequestGone;
import beampoint.Balancer.RequestReceived;
import beampoint.Balancer.Result;
import beampoint.Balancer.TimerFired;
import beampoint.settings.InputException;
import beampoint.settings.LoadColumns;

/** Translates between the simulator's wire format and the types of {@link Balancer}. */
final class Codec {

  private Codec() {}

  /** The kind of list that a message announces; its entries follow as separate messages. */
  static ListKind listKind(Message m) throws InputException {
    return switch (m.text("form")) {
      case "changes" -> ListKind.CHANGES;
      case "all" -> ListKind.FULL;
      case "remembered" -> ListKind.REMEMBERED;
      case "refused" -> ListKind.UNAVAILABLE;
      default -> throw m.invalid("form", "unknown: '" + m.text("form") + "'");
    };
  }

  /** The endpoint that a list entry describes. */
  static Endpoint endpoint(Message m) throws InputException {
    EndpointState state = switch (m.text("health")) {
      case "Running" -> EndpointState.RUNNING;
      case "Stopping" -> EndpointState.DRAINING;
      case "Deleted" -> EndpointState.GONE;
      default -> throw m.invalid("health", "unknown: '" + m.text("health") + "'");
    };
    return new Endpoint(m.text("node"), m.integer("hall", 0), m.integer("shape", 0), m.integer("block", 0),
        state,
        m.number("share", 1), m.number("up-since-ms", 0));
  }

  /** The event that a message describes, or null for a message unknown to this version. */
  static Event event(Message m, LoadColumns columns) throws InputException {
    return switch (m.name) {
      case "new_request" -> new RequestReceived(m.wholeNumber("rid"), m.number("not-after-ms"),
          m.integer("customer", 0), m.integer("service", 0), m.wholeNumber("affinity", -1),
          m.flag("is-write", false),
          m.flag("resent", false));
      case "established" -> new AttemptStarted(m.wholeNumber("rid"), m.integer("trial", 0));
      case "finished" -> new AttemptEnded(m.wholeNumber("rid"), m.integer("trial", 0), m.text("node"),
          m.number("duration-ms", 0), result(m), m.flag("done-flag", false),
          columns.parse(m.text("pressure", null)));
      case "vanished" -> new RequestGone(m.wholeNumber("rid"));
      case "timer" -> new TimerFired(m.wholeNumber("name"));
      case "echo" -> new ProbeEnded(m.text("node"), result(m), m.number("duration-ms", 0));
      default -> null;
    };
  }

  private static Result result(Message m) throws InputException {
    return switch (m.text("outcome")) {
      case "completed" -> Result.OK;
      case "errored" -> Result.ERROR;
      case "saturated" -> Result.FULL;
      case "overdue" -> Result.TIMEOUT;
      case "refused_conn" -> Result.CONNECT_FAILED;
      case "severed" -> Result.RESET;
      case "recalled" -> Result.CANCELLED;
      case "superseded" -> Result.NOT_SENT;
      case "lookup_miss" -> Result.MISS;
      default -> throw m.invalid("outcome", "unknown: '" + m.text("outcome") + "'");
    };
  }

  /** Appends the line for an action. */
  static void write(Action action, StringBuilder out) {
    if (action instanceof Balancer.Send a) {
      out.append("call_out\trid=").append(a.id()).append("\tnode=").append(a.endpoint());
      if (a.timeout() > 0) {
        out.append("\tlimit-ms=").append(a.timeout());
      }
    } else if (action instanceof Balancer.Refuse a) {
      out.append("refuse\trid=").append(a.id());
      if (a.retryAfter() > 0) {
        out.append("\twait-ms=").append(a.retryAfter());
      }
    } else if (action instanceof Balancer.Fail a) {
      out.append("lose\trid=").append(a.id());
    } else if (action instanceof Balancer.Cancel a) {
      out.append("withdraw\trid=").append(a.id()).append("\ttrial=").append(a.attempt());
    } else if (action instanceof Balancer.SetTimer a) {
      out.append("set_timer\toffset-ms=").append(a.delay()).append("\tname=").append(a.token());
    } else if (action instanceof Balancer.Probe a) {
      out.append("inspect\tnode=").append(a.endpoint());
    } else if (action instanceof Balancer.CloseIdle a) {
      out.append("free_links\tnode=").append(a.endpoint());
    } else if (action instanceof Balancer.SubscribeToList) {
      out.append("tail\ton=1");
    } else if (action instanceof Balancer.Log a) {
      out.append("debug\tbody-text=").append(a.text());
    }
    out.append('\n');
  }
}
