package beampoint.settings;

import java.net.InetSocketAddress;

/** Named values as texts, read as numbers, flags or words. */
public abstract class Fields {

  /** The text of a field, or null. */
  protected abstract String find(String field);

  /** The error that tells where a field is and what is wrong with it. */
  public abstract InputException malformed(String field, String problem);

  /** A text that must be there. */
  public final String text(String field) throws InputException {
    String value = find(field);
    if (value == null) {
      throw malformed(field, "missing");
    }
    return value;
  }

  public final String text(String field, String absent) {
    String value = find(field);
    return value == null ? absent : value;
  }

  public final double number(String field) throws InputException {
    return number(field, text(field));
  }

  public final double number(String field, double absent) throws InputException {
    String value = find(field);
    return value == null ? absent : number(field, value);
  }

  /** A number above 0. */
  public final double positive(String field) throws InputException {
    double value = number(field);
    if (value <= 0) {
      throw malformed(field, "not above 0: " + text(field));
    }
    return value;
  }

  private double number(String field, String value) throws InputException {
    try {
      double number = Double.parseDouble(value);
      if (Double.isFinite(number)) {
        return number;
      }
    } catch (NumberFormatException e) {
      // told below, with the place and the field
    }
    throw malformed(field, "not a number: '" + value + "'");
  }

  public final long whole(String field) throws InputException {
    return whole(field, text(field));
  }

  public final long whole(String field, long absent) throws InputException {
    String value = find(field);
    return value == null ? absent : whole(field, value);
  }

  private long whole(String field, String value) throws InputException {
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw malformed(field, "not a whole number: '" + value + "'");
    }
  }

  /** A whole number that fits an int. */
  public final int index(String field, int absent) throws InputException {
    long value = whole(field, absent);
    if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
      throw malformed(field, "out of range: " + value);
    }
    return (int) value;
  }

  /** An address of the form host:port that must be there. */
  public final InetSocketAddress address(String field) throws InputException {
    String text = text(field);
    InetSocketAddress address = Address.parse(text);
    if (address == null) {
      throw malformed(field, "not of the form address:port: '" + text + "'");
    }
    return address;
  }

  public final boolean flag(String field, boolean absent) throws InputException {
    String value = text(field, absent ? "1" : "0");
    return switch (value) {
      case "1", "true" -> true;
      case "0", "false" -> false;
      default -> throw malformed(field, "neither 0 nor 1: '" + value + "'");
    };
  }
}
