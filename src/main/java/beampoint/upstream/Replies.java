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
import java.util.concurrent.Executor;
import java.util.function.DoubleSupplier;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/** Handles the replies of endpoints, and determines the results. Confined to the decision thread. */
final class Replies {

  /** Receives the results. */
  interface ResultListener {

    /** An attempt or probe has ended; the answer to the client is null if there is none. */
    void complete(UpstreamRequest inFlight, Result result, Answer answer);

    /**
     * A connection can't be used any more. Its request ends with this result if it was written completely,
     * otherwise with CONNECT_FAILED.
     */
    void end(PooledConnection pooled, Result resultIfWritten);
  }

  private static final Log LOG = Log.of("upstream");
  private static final int MAX_BODY = ReplyFilter.MAX_VALUE;
  private static final double STALL_TIMEOUT_MS = 10_000; // without any bytes of a value that has begun

  private final ConnectionPools pools;
  private final MemoryManager<?> memory;
  private final DoubleSupplier clock;
  private final Counters counters;
  private final Budget budget;
  private final Executor loop;
  private final ResultListener listener;
  private final Set<PooledConnection> streaming = new LinkedHashSet<>();

  Replies(ConnectionPools pools, MemoryManager<?> memory, DoubleSupplier clock, Counters counters,
      Budget budget, Executor loop, ResultListener listener) {
    this.pools = pools;
    this.memory = memory;
    this.clock = clock;
    this.counters = counters;
    this.budget = budget;
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Handles a message that was read on a connection.
   *
   * @param readFor the request that was in flight when it was read; null if there was none
   */
  void handle(PooledConnection pooled, UpstreamRequest readFor, Object message) {
    UpstreamRequest inFlight = pooled.inFlight;
    if (pooled.closed) {
      return;
    }
    pooled.lastProgressAt = clock.getAsDouble();
    if (pooled.valueStream != null) {
      continueStream(pooled, message);
    } else if (inFlight == null || inFlight != readFor || !pooled.requestWritten) {
      protocolError(pooled, "unsolicited reply");
    } else if (message instanceof Reply reply) {
      handleReply(pooled, inFlight, reply);
    } else if (message instanceof HttpFault fault) {
      protocolError(pooled, fault.problem());
    } else if (message instanceof HttpHead head) {
      handleHead(pooled, inFlight, head);
    } else if (message instanceof HttpContent content) {
      handleContent(pooled, inFlight, content);
    }
  }

  /** The peer has closed the connection with a FIN; returns true if that was the end of a reply on it. */
  boolean completeByClose(PooledConnection pooled) {
    UpstreamRequest inFlight = pooled.inFlight;
    if (pooled.closed || inFlight == null || pooled.httpHead == null || !pooled.httpHead.untilClose()) {
      return false;
    }
    handleContent(pooled, inFlight, new HttpContent(Buffers.EMPTY_BUFFER, true, false));
    return true;
  }

  /** Passes on the next bytes of a streamed value. */
  private void continueStream(PooledConnection pooled, Object message) {
    if (message instanceof ReplyPart part && part.last()) {
      finishStream(pooled, part.surplus());
    } else if (message instanceof ReplyPart part) {
      forward(pooled, part.bytes());
    } else if (message instanceof HttpContent content) {
      forward(pooled, content.bytes());
      if (content.last()) {
        finishStream(pooled, pooled.httpHead.closes() || content.surplus());
      }
    } else {
      protocolError(pooled, "streamed value is not terminated as the protocol demands");
    }
  }

  private void forward(PooledConnection pooled, Buffer bytes) {
    if (bytes.hasRemaining() && !pooled.valueStream.offer(bytes)) {
      setReading(pooled, false);
    }
  }

  /** A streamed value is complete. */
  private void finishStream(PooledConnection pooled, boolean unusable) {
    Stream stream = pooled.valueStream;
    pooled.valueStream = null;
    streaming.remove(pooled);
    setReading(pooled, true);
    stream.finish();
    pools.release(pooled, unusable);
  }

  /**
   * Starts to stream a value whose head was read. As the client gets its head at once, the attempt counts as
   * successful and is not retried.
   */
  private void startStream(PooledConnection pooled, UpstreamRequest inFlight, long length) {
    counters.add(Counter.VALUES_STREAMED);
    pooled.inFlight = null;
    pooled.streamedFor = inFlight;
    streaming.add(pooled);
    pooled.valueStream = new Stream(length, budget, new Stream.Source() {
      @Override
      public void resume() {
        setReading(pooled, true);
      }

      @Override
      public void cancel() {
        pooled.valueStream = null;
        pools.close(pooled);
      }
    });
    listener.complete(inFlight, Result.OK, Answer.streamed(pooled.valueStream));
  }

  private void setReading(PooledConnection pooled, boolean on) {
    pooled.lastProgressAt = clock.getAsDouble();
    pooled.readingPaused = !on;
    if (pooled.closed) {
      return;
    }
    try {
      if (on) {
        pooled.connection.enableIOEvent(IOEvent.READ);
      } else {
        pooled.connection.disableIOEvent(IOEvent.READ);
      }
    } catch (IOException e) {
      listener.end(pooled, Result.RESET);
    }
  }

  private void handleReply(PooledConnection pooled, UpstreamRequest inFlight, Reply reply) {
    Command command = inFlight.isProbe() ? null : inFlight.exchange.command();
    boolean idMatches = command != null && reply.id() != null && reply.id().equals(command.id());
    boolean write = command != null && command.kind() == Command.Kind.WRITE;
    Result result = switch (reply.kind()) {
      case VALUE -> idMatches && !write ? Result.OK : null;
      case RECEIPT -> idMatches && reply.body() != null && write ? Result.OK : null;
      case MISS -> idMatches ? Result.MISS : null;
      case ALIVE -> inFlight.isProbe() ? Result.OK : null;
      case BUSY -> Result.FULL;
      case FAILED -> Result.ERROR;
      case DISCARDED -> Result.DISCARDED;
      case BAD -> null;
    };
    if (result == null) {
      protocolError(pooled, "reply does not match the request: " + reply.kind());
      return;
    }
    inFlight.loadReport = reply.loadReport();
    if (result == Result.DISCARDED) {
      listener.end(pooled, result);
      return;
    }
    pooled.mustRest = reply.id() == null;
    if (reply.isStreamed()) {
      startStream(pooled, inFlight, reply.length());
      return;
    }
    pools.release(pooled, reply.surplus());
    boolean served = result == Result.OK && !inFlight.isProbe();
    Answer.Kind kind = reply.kind() == Reply.Kind.VALUE ? Answer.Kind.VALUE : Answer.Kind.RECEIPT;
    listener.complete(inFlight, result, served ? Answer.complete(kind, reply.body()) : null);
  }

  /** Handles the head of a reply over HTTP; that of a long value is passed on at once. */
  private void handleHead(PooledConnection pooled, UpstreamRequest inFlight, HttpHead head) {
    pooled.httpHead = head;
    pooled.mustRest = true; // replies over HTTP name no request
    if (head.hasNoBody()) {
      handleContent(pooled, inFlight, new HttpContent(Buffers.EMPTY_BUFFER, true, head.surplus()));
    } else if (isRead(inFlight) && head.status() == 200 && head.length() > MAX_BODY) {
      protocolError(pooled, "body of " + head.length() + " bytes exceeds the limit of " + MAX_BODY);
    } else if (isRead(inFlight) && head.status() == 200
        && head.length() > ReplyFilter.MAX_BUFFERED_VALUE) {
      startStream(pooled, inFlight, head.length());
    }
  }

  private static boolean isRead(UpstreamRequest inFlight) {
    return !inFlight.isProbe() && inFlight.exchange.command().kind() == Command.Kind.READ;
  }

  private void handleContent(PooledConnection pooled, UpstreamRequest inFlight, HttpContent content) {
    HttpHead head = pooled.httpHead;
    boolean isRead = isRead(inFlight);
    boolean isAnswer = !inFlight.isProbe() && head.status() == 200;
    boolean isUsable = isAnswer ? collectBody(pooled, isRead, content.bytes())
        : skipBody(pooled, content.bytes().remaining());
    if (!isUsable || !content.last()) {
      return;
    }
    Buffer body = isAnswer ? takeBody(pooled) : Buffers.EMPTY_BUFFER;
    pools.release(pooled, head.closes() || content.surplus());
    if (head.status() == 200) {
      Answer.Kind kind = isRead ? Answer.Kind.VALUE : Answer.Kind.RECEIPT;
      listener.complete(inFlight, Result.OK, isAnswer ? Answer.complete(kind, body) : null);
    } else {
      boolean notExecuted = head.declined() && (head.status() == 503 || head.status() == 504);
      listener.complete(inFlight, notExecuted ? Result.FULL : Result.ERROR, null);
    }
  }

  /**
   * Keeps a part of a body until the body is complete. Returns false if the attempt has ended, as there is no
   * memory for it or it is too long.
   */
  private boolean collectBody(PooledConnection pooled, boolean isRead, Buffer bytes) {
    if (pooled.bodyCollector == null) {
      pooled.bodyCollector =
          new Collector(memory, MAX_BODY, isRead ? budget.claimReply() : budget.claimReceipt());
    }
    if (!pooled.bodyCollector.add(bytes)) {
      listener.end(pooled, Result.DISCARDED);
      return false;
    }
    return !bytes.hasRemaining() || failTooLongBody(pooled);
  }

  /**
   * Takes a complete body. It stays counted up to the task before the one that counts the answer: otherwise
   * other messages could take the memory in between.
   */
  private Buffer takeBody(PooledConnection pooled) {
    Collector body = pooled.bodyCollector;
    pooled.bodyCollector = null;
    loop.execute(body::release);
    return body.message();
  }

  /** Skips a part of a body that is no answer; returns false if the attempt has ended, as it is too long. */
  private boolean skipBody(PooledConnection pooled, int count) {
    pooled.skippedBodyBytes += count;
    return pooled.skippedBodyBytes <= MAX_BODY || failTooLongBody(pooled);
  }

  private boolean failTooLongBody(PooledConnection pooled) {
    protocolError(pooled, "body exceeds the limit of " + MAX_BODY + " bytes");
    return false;
  }

  /**
   * Logs a protocol violation and ends the connection, as nothing after it can be interpreted. The result is
   * an error and not a reset: the endpoint is alive, and the request may have been executed.
   */
  private void protocolError(PooledConnection pooled, String problem) {
    counters.add(Counter.UPSTREAM_BAD_REPLIES);
    LOG.warn(problem + ", from " + pooled.pool.endpoint);
    listener.end(pooled, Result.ERROR);
  }

  /** Ends the connections whose streamed values have not made progress for too long. */
  void endStalled() {
    double before = clock.getAsDouble() - STALL_TIMEOUT_MS;
    streaming.removeIf(pooled -> pooled.closed);
    List.copyOf(streaming).stream().filter(pooled -> !pooled.readingPaused && pooled.lastProgressAt < before)
        .forEach(
            pooled -> protocolError(pooled, "no bytes of a value for " + (long) STALL_TIMEOUT_MS + " ms"));
  }
}
