package beampoint.upstream;

import beampoint.Balancer.Result;
import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.buffer.Stream;
import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.exchange.Answer;
import beampoint.http.HttpContent;
import beampoint.http.HttpFault;
import beampoint.http.HttpHead;
import beampoint.log.Log;
import beampoint.memcache.Command;
import beampoint.memcache.Reply;
import beampoint.memcache.ReplyFilter;
import beampoint.memcache.ReplyPart;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Reads what endpoints answer, and tells how the flight has ended. Belongs to the decision thread. */
final class Replies {

  /** Who is told. */
  interface Outcomes {

    /** A flight has ended; the answer is null where there is none. */
    void complete(InFlight flight, Result result, Answer answer);

    /** A connection is of no use any more; its flight ends like this if it was written whole. */
    void end(PooledConnection link, Result afterWriting);
  }

  private static final Log LOG = Log.of("upstream");
  private static final int MAX_BODY = ReplyFilter.MAX_VALUE;
  private static final double STALL_MS = 10_000; // after which a value that has begun is given up

  private final ConnectionPools pools;
  private final MemoryManager<?> memory;
  private final DoubleSupplier clock;
  private final Counters counters;
  private final Budget budget;
  private final Outcomes outcomes;
  private final Set<PooledConnection> streaming = new LinkedHashSet<>();

  Replies(ConnectionPools pools, MemoryManager<?> memory, DoubleSupplier clock, Counters counters,
      Budget budget, Outcomes outcomes) {
    this.pools = pools;
    this.memory = memory;
    this.clock = clock;
    this.counters = counters;
    this.budget = budget;
    this.outcomes = outcomes;
  }

  /** Something has come on a connection. */
  void read(PooledConnection link, Object message) {
    InFlight flight = link.flight;
    if (link.closed) {
      return;
    }
    link.movedAt = clock.getAsDouble();
    if (link.stream != null) {
      goOn(link, message);
    } else if (flight == null || !link.written) {
      bad(link, "an answer that nothing was asked for");
    } else if (message instanceof Reply reply) {
      answered(link, flight, reply);
    } else if (message instanceof HttpFault fault) {
      bad(link, fault.problem());
    } else if (message instanceof HttpHead head) {
      link.head = head;
      if (head.whole()) {
        content(link, flight, new HttpContent(Buffers.EMPTY_BUFFER, true, head.surplus()));
      }
    } else if (message instanceof HttpContent content) {
      content(link, flight, content);
    }
  }

  /** The peer has closed the connection in order; true where that was the end of the answer on it. */
  boolean ended(PooledConnection link) {
    InFlight flight = link.flight;
    if (link.closed || flight == null || link.head == null || !link.head.untilClose()) {
      return false;
    }
    content(link, flight, new HttpContent(Buffers.EMPTY_BUFFER, true, false));
    return true;
  }

  /** The next bytes of a long value. */
  private void goOn(PooledConnection link, Object message) {
    if (message instanceof ReplyPart part && part.last()) {
      streamed(link, part.surplus());
    } else if (message instanceof ReplyPart part) {
      pass(link, part.bytes());
    } else if (message instanceof HttpContent content) {
      pass(link, content.bytes());
      if (content.last()) {
        streamed(link, link.head.closes() || content.surplus());
      }
    } else {
      bad(link, "a long value that does not end as it should");
    }
  }

  private void pass(PooledConnection link, Buffer bytes) {
    if (bytes.hasRemaining() && !link.stream.offer(bytes)) {
      setReading(link, false);
    }
  }

  /** A long value has come to its end. */
  private void streamed(PooledConnection link, boolean spent) {
    Stream stream = link.stream;
    link.stream = null;
    streaming.remove(link);
    setReading(link, true);
    stream.finish();
    pools.release(link, spent);
  }

  /** The value is the client's from its first bytes on: the attempt has ended well, and is not repeated. */
  private void stream(PooledConnection link, InFlight flight, long length) {
    counters.add(Counter.VALUES_STREAMED);
    link.flight = null;
    streaming.add(link);
    link.stream = new Stream(length, budget, new Stream.Source() {
      @Override
      public void resume() {
        setReading(link, true);
      }

      @Override
      public void cancel() {
        link.stream = null;
        pools.close(link);
      }
    });
    outcomes.complete(flight, Result.OK, Answer.streamed(link.stream));
  }

  private void setReading(PooledConnection link, boolean on) {
    link.movedAt = clock.getAsDouble();
    link.paused = !on;
    if (link.closed) {
      return;
    }
    try {
      if (on) {
        link.connection.enableIOEvent(IOEvent.READ);
      } else {
        link.connection.disableIOEvent(IOEvent.READ);
      }
    } catch (IOException e) {
      outcomes.end(link, Result.RESET);
    }
  }

  private void answered(PooledConnection link, InFlight flight, Reply reply) {
    Command command = flight.isProbe() ? null : flight.exchange.command();
    boolean own = command != null && reply.id() != null && reply.id().equals(command.id());
    boolean write = command != null && command.kind() == Command.Kind.WRITE;
    Result result = switch (reply.kind()) {
      case VALUE -> own && !write ? Result.OK : null;
      case RECEIPT -> own && reply.body() != null && write ? Result.OK : null;
      case MISS -> own ? Result.MISS : null;
      case ALIVE -> flight.isProbe() ? Result.OK : null;
      case BUSY -> Result.FULL;
      case FAILED -> Result.ERROR;
      case BAD -> null;
    };
    if (result == null) {
      bad(link, "an answer that does not fit: " + reply.kind());
      return;
    }
    flight.load = reply.load();
    if (reply.isStreamed()) {
      stream(link, flight, reply.length());
      return;
    }
    pools.release(link, reply.surplus());
    boolean served = result == Result.OK && !flight.isProbe();
    Answer.Kind kind = reply.kind() == Reply.Kind.VALUE ? Answer.Kind.VALUE : Answer.Kind.RECEIPT;
    outcomes.complete(flight, result, served ? Answer.whole(kind, reply.body()) : null);
  }

  private void content(PooledConnection link, InFlight flight, HttpContent content) {
    boolean read = !flight.isProbe() && flight.exchange.command().kind() == Command.Kind.READ;
    boolean isLong = read && link.head.status() == 200 && link.head.length() > ReplyFilter.WHOLE_VALUE;
    if (isLong && link.body == null) {
      if (link.head.length() > MAX_BODY) {
        bad(link, "a body that is longer than any value");
        return;
      }
      stream(link, flight, link.head.length());
      goOn(link, content);
      return;
    }
    if (link.body == null) {
      link.claim = budget.claim(() -> setReading(link, true));
      link.body = new Collector(memory, MAX_BODY, link.claim);
    }
    if (!link.body.add(content.bytes())) {
      setReading(link, false);
    }
    if (content.bytes().hasRemaining()) {
      bad(link, "a body that is longer than any value");
      return;
    }
    if (!content.last()) {
      return;
    }
    HttpHead head = link.head;
    Buffer body = link.body.message();
    link.claim.release();
    pools.release(link, head.closes() || content.surplus());
    if (head.status() == 200) {
      boolean write = !flight.isProbe() && flight.exchange.command().kind() == Command.Kind.WRITE;
      Answer.Kind kind = write ? Answer.Kind.RECEIPT : Answer.Kind.VALUE;
      outcomes.complete(flight, Result.OK, flight.isProbe() ? null : Answer.whole(kind, body));
    } else {
      boolean neverRan = head.declined() && (head.status() == 503 || head.status() == 504);
      outcomes.complete(flight, neverRan ? Result.FULL : Result.ERROR, null);
    }
  }

  /**
   * After what can't be understood nothing more is read. The peer lives, and the request may have run: that
   * is an error, and no reason to take the peer for broken as after a reset.
   */
  private void bad(PooledConnection link, String what) {
    counters.add(Counter.UPSTREAM_BAD_REPLIES);
    LOG.warn(what + ", from " + link.pool.endpoint);
    outcomes.end(link, Result.ERROR);
  }

  /** Gives up long values that have come to a standstill. */
  void endStalled() {
    double before = clock.getAsDouble() - STALL_MS;
    streaming.removeIf(link -> link.closed);
    List.copyOf(streaming).stream().filter(link -> !link.paused && link.movedAt < before)
        .forEach(link -> bad(link, "a long value that stands still"));
  }
}
