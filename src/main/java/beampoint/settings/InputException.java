package beampoint.settings;

/** Malformed input; the message is for the person who reads standard error. */
public final class InputException extends Exception {

  private static final long serialVersionUID = 1L;

  public InputException(String message) {
    super(message);
  }
}
