package beampoint.serve;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.discovery.HostList.Host;
import beampoint.memcache.Command;
import beampoint.settings.SocketSettings;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.glassfish.grizzly.Buffer;

/** Turns the names on the sockets into the module's numbers. */
final class NameIndex {

  private SocketSettings settings;

  NameIndex(SocketSettings settings) {
    this.settings = settings;
  }

  SocketSettings names() {
    return settings;
  }

  void take(SocketSettings next) {
    settings = next;
  }

  Endpoint endpoint(Host host) {
    EndpointState state = switch (host.health()) {
      case READY -> EndpointState.RUNNING;
      case TERMINATING -> EndpointState.DRAINING;
      case GONE -> EndpointState.GONE;
    };
    return new Endpoint(host.host(), number(settings.zones(), host.site()),
        number(settings.kinds(), host.kind()), host.block(), state, host.share(), host.bornMs());
  }

  /** A class's number, or -1. */
  int requestClass(Command command) {
    return settings.classes().indexOf(command.requestClass());
  }

  /** False for a tenant that the settings don't name, where they name any. */
  boolean knowsTenant(Command command) {
    return command.tenant() == null || settings.tenants().isEmpty()
        || settings.tenants().contains(command.tenant());
  }

  int tenant(Command command) {
    return command.tenant() == null ? 0 : number(settings.tenants(), command.tenant());
  }

  /**
   * The number of a name; one past the last for a name that the settings don't know. Guards against a host of
   * an unknown kind that passes for the origin, whose kind is -1 where there is none.
   */
  private static int number(List<String> names, String name) {
    int number = names.indexOf(name);
    return number < 0 ? names.size() : number;
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
