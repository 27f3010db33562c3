package beampoint.transport;

import java.io.IOException;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;

/**
 * The socket's end of a filter chain. Guards against a peer that ends its connection, as each does in the
 * end, and costs as much as a fault: the library words a log line for it, and throws that away.
 */
public final class PeerFilter extends TransportFilter {

  @Override
  public NextAction handleRead(FilterChainContext ctx) throws IOException {
    try {
      return super.handleRead(ctx);
    } catch (IOException e) {
      ctx.getConnection().terminateSilently(); // the filters hear of its end, if they have not yet
      return ctx.getStopAction();
    }
  }
}
