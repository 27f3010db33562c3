package beampoint.ops;

/** Where operators' calls are carried out; called on the decision thread. */
public interface Desk {

  /** How a call ended. */
  enum Outcome { DONE, NOT_STORED, UNKNOWN, TOO_MANY }

  /** True where this process takes clients. */
  boolean isReady();

  /** Takes a cache node out until the call back. */
  Outcome detach(String node);

  /** Uses a cache node again. */
  Outcome attach(String node);
}
