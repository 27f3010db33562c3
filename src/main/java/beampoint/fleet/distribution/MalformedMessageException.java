package beampoint.fleet.distribution;

/** The bytes are not a distribution message of this cluster, or not of a version that is supported. */
public final class MalformedMessageException extends Exception {

  private static final long serialVersionUID = 1L;

  MalformedMessageException(String problem) {
    super(problem);
  }

  MalformedMessageException(String problem, Throwable cause) {
    super(problem, cause);
  }
}
