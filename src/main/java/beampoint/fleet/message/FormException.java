package beampoint.fleet.message;

/** Bytes that are no message of this cluster, or of no version that this program reads. */
public final class FormException extends Exception {

  private static final long serialVersionUID = 1L;

  FormException(String problem) {
    super(problem);
  }
}
