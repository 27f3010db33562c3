package beampoint.settings;

import java.net.InetSocketAddress;

/** Named text values, read as texts, numbers, flags or addresses. */
public abstract class Fields {

  /** Returns the text of a field, or null if there is none. */
  protected abstract String find(String field);

  /** Makes an error that names the source and the field, and states what is wrong with the field. */
  public abstract InputException invalid(String field, String problem);

  /** Reads a text; throws if the field is missing. */
  public final String text(String field) throws InputException {
    String value = find(field);
    if (value == null) {
      throw invalid(field, "missing");
    }
    return value;
  }

  /** Reads a text, or returns the default if the field is missing. */
  public final String text(String field, String defaultValue) {
    String value = find(field);
    return value == null ? defaultValue : value;
  }

  /** Reads a finite number; throws if the field is missing. */
  public final double number(String field) throws InputException {
    return number(field, text(field));
  }

  /** Reads a finite number, or returns the default if the field is missing. */
  public final double number(String field, double defaultValue) throws InputException {
    String value = find(field);
    return value == null ? defaultValue : number(field, value);
  }

  /** Reads a number above 0; throws if the field is missing. */
  public final double positive(String field) throws InputException {
    double value = number(field);
    if (value <= 0) {
      throw invalid(field, "not above 0: " + text(field));
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
      // reported below, with the source and the field
    }
    throw invalid(field, "not a number: '" + value + "'");
  }

  /** Reads a whole number; throws if the field is missing. */
  public final long wholeNumber(String field) throws InputException {
    return wholeNumber(field, text(field));
  }

  /** Reads a whole number, or returns the default if the field is missing. */
  public final long wholeNumber(String field, long defaultValue) throws InputException {
    String value = find(field);
    return value == null ? defaultValue : wholeNumber(field, value);
  }

  private long wholeNumber(String field, String value) throws InputException {
    try {
      return Long.parseLong(value);
    } catch (NumberFormatException e) {
      throw invalid(field, "not a whole number: '" + value + "'");
    }
  }

  /** Reads a whole number of 32 bits, or returns the default if the field is missing. */
  public final int integer(String field, int defaultValue) throws InputException {
    long value = wholeNumber(field, defaultValue);
    if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
      throw invalid(field, "not a whole number of 32 bits: " + value);
    }
    return (int) value;
  }

  /** Reads an address of the form host:port; throws if the field is missing. */
  public final InetSocketAddress address(String field) throws InputException {
    String text = text(field);
    InetSocketAddress address = Address.parse(text);
    if (address == null) {
      throw invalid(field, "not of the form host:port: '" + text + "'");
    }
    return address;
  }

  /** Reads a flag, 0, 1, true or false, or returns the default if the field is missing. */
  public final boolean flag(String field, boolean defaultValue) throws InputException {
    String value = text(field, defaultValue ? "1" : "0");
    return switch (value) {
      case "1", "true" -> true;
      case "0", "false" -> false;
      default -> throw invalid(field, "none of 0, 1, true, false: '" + value + "'");
    };
  }
}
