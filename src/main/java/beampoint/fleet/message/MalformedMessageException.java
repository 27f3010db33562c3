package beampoint.fleet.message;

/** Bytes that are no message of this cluster, or of no version that this program reads. */
public final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedMessageException(String problem) {
    super(problem);
  }
}
