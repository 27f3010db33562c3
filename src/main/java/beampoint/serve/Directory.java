package beampoint.serve;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.discovery.HostList.Host;
import beampoint.memcache.Command;
import beampoint.settings.SocketSettings;
import java.nio.charset.StandardCharsets;
import org.glassfish.grizzly.Buffer;

/** Turns the names on the sockets into the module's numbers. */
final class Directory {

  private final SocketSettings settings;

  Directory(SocketSettings settings) {
    this.settings = settings;
  }

  Endpoint endpoint(Host host) {
    EndpointState state = switch (host.health()) {
      case READY -> EndpointState.RUNNING;
      case TERMINATING -> EndpointState.DRAINING;
      case GONE -> EndpointState.GONE;
    };
    return new Endpoint(host.host(), settings.zones().indexOf(host.site()),
        settings.kinds().indexOf(host.kind()), host.block(), state, host.share(), host.bornMs());
  }

  /** A class's number, or -1. */
  int requestClass(Command command) {
    return settings.classes().indexOf(command.requestClass());
  }

  /** A tenant's number; one past the last for a tenant that the settings don't know. */
  int tenant(Command command) {
    int tenant = command.tenant() == null ? 0 : settings.tenants().indexOf(command.tenant());
    return tenant < 0 ? settings.tenants().size() : tenant;
  }

  /** A key as all proxies number it. A number below 0 would tell the module that there is no key. */
  static long key(Buffer key) {
    String text = key.toStringContent(StandardCharsets.ISO_8859_1);
    try {
      return Long.parseUnsignedLong(text, 16) & Long.MAX_VALUE;
    } catch (NumberFormatException e) {
      long hash = 0xcbf29ce484222325L; // FNV-1a: a key may be any word
      for (int i = 0; i < text.length(); i++) {
        hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
      }
      return hash & Long.MAX_VALUE;
    }
  }
}
