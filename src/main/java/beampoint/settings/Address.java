package beampoint.settings;

import java.net.InetSocketAddress;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Addresses as configuration and discovery word them. */
public final class Address {

  private static final Pattern FORM = Pattern.compile("(\\S+):(\\d{1,5})");
  private static final int LAST_PORT = 65_535;

  private Address() {}

  /** The address that a text of the form host:port names, or null where it names none. */
  public static InetSocketAddress parse(String text) {
    Matcher matcher = FORM.matcher(text);
    int port = matcher.matches() ? Integer.parseInt(matcher.group(2)) : -1;
    return port < 0 || port > LAST_PORT ? null : new InetSocketAddress(matcher.group(1), port);
  }

  /** An address in that form. */
  public static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
