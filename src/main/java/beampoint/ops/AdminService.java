package beampoint.ops;

/** Carries out what operators call for; called on the decision thread. */
public interface AdminService {

  /** How a call ended. */
  enum Outcome { DONE, NOT_STORED, UNKNOWN, TOO_MANY }

  /** True where this process takes clients. */
  boolean isReady();

  /** Takes a cache node out until the call back. */
  Outcome detach(String node);

  /** Uses a cache node again. */
  Outcome attach(String node);
}
