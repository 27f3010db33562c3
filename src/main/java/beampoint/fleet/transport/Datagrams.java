package beampoint.fleet.transport;

import beampoint.count.Counter;
import beampoint.count.Counters;
import beampoint.fleet.message.Codec;
import beampoint.fleet.message.MalformedMessageException;
import beampoint.fleet.message.Message;
import beampoint.settings.FleetSettings;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.transport.UDPNIOServerConnection;
import org.glassfish.grizzly.nio.transport.UDPNIOTransport;
import org.glassfish.grizzly.nio.transport.UDPNIOTransportBuilder;
import org.glassfish.grizzly.strategies.SameThreadIOStrategy;
import org.glassfish.grizzly.threadpool.ThreadPoolConfig;

/**
 * Sends and receives short messages between members by UDP. Datagrams that are not messages of this cluster
 * are counted and dropped, and so are those that arrive faster than they can be processed.
 */
public final class Datagrams {

  /**
   * The maximum number of messages that were read and wait for the event loop: one per member, as after a
   * pause of the loop in which every member has sent one. Without a limit, memory use would grow while
   * messages arrive faster than they are processed.
   */
  static final int MAX_QUEUED = FleetSettings.MAX_MEMBERS;

  private final Codec codec;
  private final Executor loop;
  private final Counters counters;
  private final Consumer<Message> receiver;
  private final AtomicInteger queued = new AtomicInteger();
  private final UDPNIOTransport transport;
  private UDPNIOServerConnection socket;

  /**
   * Creates a transport that is not listening yet.
   *
   * @param loop the event loop, in whose tasks messages are decoded and passed to the receiver
   */
  public Datagrams(Codec codec, Executor loop, Counters counters, Consumer<Message> receiver) {
    this.codec = codec;
    this.loop = loop;
    this.counters = counters;
    this.receiver = receiver;
    this.transport = UDPNIOTransportBuilder.newInstance()
        .setIOStrategy(SameThreadIOStrategy.getInstance())
        .setSelectorRunnersCount(1)
        .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig().setCorePoolSize(1).setMaxPoolSize(1)
            .setThreadFactory(task -> new Thread(task, "members")))
        .setReadBufferSize(2 * Codec.MAX_DATAGRAM_BYTES)
        .build();
    transport.setProcessor(FilterChainBuilder.stateless().add(new TransportFilter()).add(new ReadFilter())
        .build());
  }

  /** Passes the bytes that were read to the event loop. */
  private final class ReadFilter extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Buffer message = ctx.getMessage();
      byte[] bytes = new byte[message.remaining()];
      message.get(bytes);
      message.tryDispose();
      counters.add(Counter.MEMBER_BYTES_RECEIVED, bytes.length);
      if (queued.incrementAndGet() > MAX_QUEUED) {
        queued.decrementAndGet();
        counters.add(Counter.MEMBER_MESSAGES_DROPPED);
      } else {
        loop.execute(() -> process(bytes));
      }
      return ctx.getStopAction();
    }
  }

  private void process(byte[] bytes) {
    queued.decrementAndGet();
    try {
      receiver.accept(codec.read(bytes, bytes.length));
    } catch (MalformedMessageException e) {
      counters.add(Counter.MEMBER_MESSAGES_DROPPED);
    }
  }

  /** Starts to listen. */
  public void listen(InetSocketAddress address) throws IOException {
    transport.start();
    socket = transport.bind(address);
  }

  /** Sends a message without acknowledgement; it may be lost. */
  public void send(SocketAddress to, Message message) {
    byte[] bytes = codec.write(message);
    counters.add(Counter.MEMBER_MESSAGES_SENT);
    counters.add(Counter.MEMBER_BYTES_SENT, bytes.length);
    socket.write(to, Buffers.wrap(transport.getMemoryManager(), bytes), null);
  }

  /** Stops listening and sending. */
  public void close() throws IOException {
    transport.shutdownNow();
  }
}
