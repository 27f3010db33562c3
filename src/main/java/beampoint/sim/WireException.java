package beampoint.sim;

/** Malformed input, told in plain words for the person who reads standard error. */
public final class WireException extends Exception {

  private static final long serialVersionUID = 1L;

  public WireException(String message) {
    super(message);
  }
}
