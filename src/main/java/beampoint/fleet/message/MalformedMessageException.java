package beampoint.fleet.message;

/** Thrown for bytes that are not a message of this cluster in the supported version of the format. */
public final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedMessageException(String problem) {
    super(problem);
  }
}
