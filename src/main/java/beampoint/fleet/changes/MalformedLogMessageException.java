package beampoint.fleet.changes;

/**
 * Thrown for bytes that are not a message of this cluster's change log in the supported version of the
 * format.
 */
public final class MalformedLogMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedLogMessageException(String problem) {
    super(problem);
  }
}
