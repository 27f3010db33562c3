package beampoint.serve;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectableChannel;
import java.nio.channels.ServerSocketChannel;
import org.glassfish.grizzly.nio.ChannelConfigurator;
import org.glassfish.grizzly.nio.NIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/** Sets SO_REUSEPORT on listeners, so that another process of this proxy can listen on the same address. */
final class SharedListener implements ChannelConfigurator {

  private static final ChannelConfigurator DEFAULT = TCPNIOTransport.DEFAULT_CHANNEL_CONFIGURATOR;

  @Override
  public void preConfigure(NIOTransport transport, SelectableChannel channel) throws IOException {
    DEFAULT.preConfigure(transport, channel);
    if (channel instanceof ServerSocketChannel server
        && server.supportedOptions().contains(StandardSocketOptions.SO_REUSEPORT)) {
      server.setOption(StandardSocketOptions.SO_REUSEPORT, true);
    }
  }

  @Override
  public void postConfigure(NIOTransport transport, SelectableChannel channel) throws IOException {
    DEFAULT.postConfigure(transport, channel);
  }
}
