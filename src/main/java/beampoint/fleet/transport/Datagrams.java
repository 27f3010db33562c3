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
 * Short messages between members, by UDP. What is no message of this cluster is counted and dropped, and so
 * is what comes faster than it can be taken.
 */
public final class Datagrams {

  /**
   * Messages that have been read and wait for the loop: one of each member, as after a pause of the loop in
   * which all have sent. Guards against memory that grows while messages come faster than they are taken.
   */
  static final int MAX_WAITING = FleetSettings.MAX_MEMBERS;

  private final Codec codec;
  private final Executor loop;
  private final Counters counters;
  private final Consumer<Message> received;
  private final AtomicInteger waiting = new AtomicInteger();
  private final UDPNIOTransport transport;
  private UDPNIOServerConnection socket;

  /** What comes is told by tasks of the loop, as it decides. */
  public Datagrams(Codec codec, Executor loop, Counters counters, Consumer<Message> received) {
    this.codec = codec;
    this.loop = loop;
    this.counters = counters;
    this.received = received;
    this.transport = UDPNIOTransportBuilder.newInstance()
        .setIOStrategy(SameThreadIOStrategy.getInstance())
        .setSelectorRunnersCount(1)
        .setSelectorThreadPoolConfig(ThreadPoolConfig.defaultConfig().setCorePoolSize(1).setMaxPoolSize(1)
            .setThreadFactory(task -> new Thread(task, "members")))
        .setReadBufferSize(2 * Codec.MAX_DATAGRAM_BYTES)
        .build();
    transport.setProcessor(FilterChainBuilder.stateless().add(new TransportFilter()).add(new Events())
        .build());
  }

  /** Hands on what was read, as tasks of the loop. */
  private final class Events extends BaseFilter {

    @Override
    public NextAction handleRead(FilterChainContext ctx) {
      Buffer message = ctx.getMessage();
      byte[] bytes = new byte[message.remaining()];
      message.get(bytes);
      message.tryDispose();
      counters.add(Counter.MEMBER_BYTES_RECEIVED, bytes.length);
      if (waiting.incrementAndGet() > MAX_WAITING) {
        waiting.decrementAndGet();
        counters.add(Counter.MEMBER_MESSAGES_DROPPED);
      } else {
        loop.execute(() -> take(bytes));
      }
      return ctx.getStopAction();
    }
  }

  private void take(byte[] bytes) {
    waiting.decrementAndGet();
    try {
      received.accept(codec.read(bytes, bytes.length));
    } catch (MalformedMessageException e) {
      counters.add(Counter.MEMBER_MESSAGES_DROPPED);
    }
  }

  /** Begins to listen. */
  public void listen(InetSocketAddress address) throws IOException {
    transport.start();
    socket = transport.bind(address);
  }

  /** Sends a message, which may be lost. */
  public void send(SocketAddress to, Message message) {
    byte[] bytes = codec.write(message);
    counters.add(Counter.MEMBER_MESSAGES_SENT);
    counters.add(Counter.MEMBER_BYTES_SENT, bytes.length);
    socket.write(to, Buffers.wrap(transport.getMemoryManager(), bytes), null);
  }

  /** Listens and sends no longer. */
  public void close() throws IOException {
    transport.shutdownNow();
  }
}
