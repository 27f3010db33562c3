package beampoint.fleet.changes;

/** Bytes that are no message about changes, or of another cluster or an unknown version. */
public final class MalformedChangeException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedChangeException(String problem) {
    super(problem);
  }
}
