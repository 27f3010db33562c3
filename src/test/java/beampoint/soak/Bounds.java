package beampoint.soak;

/** The time limits, in ms, that the operators' specification states and the soak checks. */
final class Bounds {

  /** An answer that comes later than this after its deadline counts as missing. */
  static final double ANSWER_GRACE_MS = 500;
  /** Tolerance of each time limit of the settings when it is measured on sockets. */
  static final double TIMEOUT_TOLERANCE_MS = 50;
  /** How long after the client's close an attempt may still be sent. */
  static final double CANCEL_TOLERANCE_MS = 100;
  /** By how much the deadline sent with an attempt may exceed the time that is left. */
  static final double DEADLINE_TOLERANCE_MS = 150;
  /** The longest pause of a proxy process during which it still has to keep all rules. */
  static final double MAX_PAUSE_MS = 150;
  /** How long a client that sends an incomplete command may wait for an error or a close. */
  static final double INCOMPLETE_COMMAND_TIMEOUT_MS = 3000;
  /** The longest time from the start of a process until it answers that it is ready. */
  static final double MAX_START_MS = 10_000;
  /** The same for a process that takes over from a running one. */
  static final double MAX_UPGRADE_START_MS = 6000;
  /** A SIGKILL may follow a SIGTERM after the longest deadline plus this time. */
  static final double SIGKILL_DELAY_MS = 700;
  /** The longest deadline that counts in the time between SIGTERM and SIGKILL. */
  static final double MAX_DEADLINE_MS = 3000;
  /** The dedup window of the settings, in which the origin drops repeats of a keyed write. */
  static final double DEDUP_WINDOW_MS = 2000;
  /** The drain grace of the settings, from when the drain of a node is announced. */
  static final double DRAIN_GRACE_MS = 1000;

  private Bounds() {}
}
