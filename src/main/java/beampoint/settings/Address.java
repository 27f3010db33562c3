package beampoint.settings;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Addresses of the form host:port, as in the configuration and in lists of discovery. */
public final class Address {

  private static final Pattern HOST_AND_PORT = Pattern.compile("(\\S+):(\\d{1,5})");
  private static final int MAX_PORT = 65_535;

  private Address() {}

  /** Parses a text of the form host:port; returns null if it has another form or its port is out of range. */
  public static InetSocketAddress parse(String text) {
    Matcher matcher = HOST_AND_PORT.matcher(text);
    int port = matcher.matches() ? Integer.parseInt(matcher.group(2)) : -1;
    return port < 0 || port > MAX_PORT ? null : new InetSocketAddress(matcher.group(1), port);
  }

  /** Formats an address as host:port. */
  public static String format(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
