package beampoint.fleet.distribution;

/** Bytes that are no message of this cluster's distribution, or of no version that this program reads. */
public final class MessageFormException extends Exception {

  private static final long serialVersionUID = 1L;

  MessageFormException(String problem) {
    super(problem);
  }

  MessageFormException(String problem, Throwable cause) {
    super(problem, cause);
  }
}
