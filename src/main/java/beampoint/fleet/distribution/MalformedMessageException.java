package beampoint.fleet.distribution;

/** Bytes that are no message of this cluster's distribution, or of no version that this program reads. */
public final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedMessageException(String problem) {
    super(problem);
  }

  MalformedMessageException(String problem, Throwable cause) {
    super(problem, cause);
  }
}
