package beampoint.serve;

import beampoint.Balancer.Endpoint;
import beampoint.Balancer.EndpointState;
import beampoint.discovery.HostList.Host;
import beampoint.memcache.Command;
import beampoint.settings.SocketSettings;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.glassfish.grizzly.Buffer;

/** Maps the names used on the sockets to the numbers used by the decision module. */
final class NameIndex {

  private SocketSettings settings;

  NameIndex(SocketSettings settings) {
    this.settings = settings;
  }

  /** The settings that hold the names in force. */
  SocketSettings settings() {
    return settings;
  }

  /** Uses the names of other settings from now on. */
  void update(SocketSettings next) {
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

  /** Returns the number of the request class, or -1 if it is unknown. */
  int requestClass(Command command) {
    return settings.classes().indexOf(command.requestClass());
  }

  /** False if the settings name tenants and the command's is not one of them. */
  boolean knowsTenant(Command command) {
    return command.tenant() == null || settings.tenants().isEmpty()
        || settings.tenants().contains(command.tenant());
  }

  /** Returns the number of the command's tenant; 0, the first tenant's, if it names none. */
  int tenant(Command command) {
    return command.tenant() == null ? 0 : number(settings.tenants(), command.tenant());
  }

  /**
   * Returns the number of a name, or one past the last number for an unknown name. It is not -1, because the
   * settings have -1 as the origin's kind if no origin is configured, and a host of an unknown kind would
   * then be taken for the origin.
   */
  private static int number(List<String> names, String name) {
    int number = names.indexOf(name);
    return number < 0 ? names.size() : number;
  }

  /**
   * Returns the number that all proxies give to a key. It is never negative, because a negative number means
   * to the module that a request has no key.
   */
  static long key(Buffer key) {
    String text = key.toStringContent(StandardCharsets.ISO_8859_1);
    try {
      return Long.parseUnsignedLong(text, 16) & Long.MAX_VALUE;
    } catch (NumberFormatException e) {
      long hash = 0xcbf29ce484222325L; // FNV-1a, for a key that is not hexadecimal
      for (int i = 0; i < text.length(); i++) {
        hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
      }
      return hash & Long.MAX_VALUE;
    }
  }
}
