package beampoint.memcache;

import beampoint.buffer.Budget;
import beampoint.buffer.Collector;
import beampoint.memcache.Reply.Kind;
import java.io.IOException;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * Parses the replies of cache nodes. Values up to 64 KiB are passed on only when they are complete: a
 * truncated one is no reply. Longer ones are streamed: first the head, then the bytes as they are read.
 */
public final class ReplyFilter extends BaseFilter {

  /** The longest value that is buffered until it is complete, in bytes. */
  public static final int MAX_BUFFERED_VALUE = 64 * 1024;
  /** The longest valid value, in bytes. A reply that announces a longer one is corrupt, and may never end. */
  public static final int MAX_VALUE = CommandFilter.MAX_VALUE;

  private final MemoryManager<?> memory;
  private final Budget budget;
  private final Attribute<ReplyReader> readers =
      Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("replies-read");

  /**
   * Creates the filter for the connections to all cache nodes.
   *
   * @param budget the memory for values that are being read
   */
  public ReplyFilter(MemoryManager<?> memory, Budget budget) {
    this.memory = memory;
    this.budget = budget;
  }

  private ReplyReader reader(Connection<?> connection) {
    ReplyReader reader = readers.get(connection);
    if (reader == null) {
      reader = new ReplyReader(memory, budget);
      readers.set(connection, reader);
    }
    return reader;
  }

  @Override
  public NextAction handleClose(FilterChainContext ctx) {
    ReplyReader reader = readers.get(ctx.getConnection());
    if (reader != null) {
      reader.release();
    }
    return ctx.getInvokeAction();
  }

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    Buffer in = ctx.getMessage();
    ReplyReader reader = reader(ctx.getConnection());
    Object message = reader.parse(in);
    if (message == null) {
      return !in.hasRemaining() ? ctx.getStopAction()
          : ctx.getStopAction(in.isComposite() ? Collector.copy(memory, in) : in);
    }
    boolean endsReading = message instanceof Reply reply
        && (reply.surplus() || reply.kind() == Kind.BAD || reply.kind() == Kind.DISCARDED);
    if (endsReading || message instanceof ReplyPart part && part.surplus()) {
      // One request is in flight at a time: what follows its reply belongs to none, and may never end.
      ctx.getConnection().disableIOEvent(IOEvent.READ);
    }
    ctx.setMessage(message);
    boolean continues = message instanceof Reply reply && reply.isStreamed()
        || message instanceof ReplyPart part && !part.last();
    return continues && in.hasRemaining() ? ctx.getInvokeAction(in) : ctx.getInvokeAction();
  }
}
