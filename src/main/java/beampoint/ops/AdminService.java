package beampoint.ops;

/** The operations behind the admin server. Called on the decision thread. */
public interface AdminService {

  /**
   * The result of an operation. NOT_STORED: done, but not written to disk, so it is lost when this process
   * ends. UNKNOWN: there is no such cache node. TOO_MANY: the limit of detached cache nodes is reached.
   */
  enum Outcome { DONE, NOT_STORED, UNKNOWN, TOO_MANY }

  /** True if this process accepts clients. */
  boolean isReady();

  /** Takes a cache node out of use until it is attached again. */
  Outcome detach(String node);

  /** Puts a detached cache node back into use. */
  Outcome attach(String node);
}
