package beampoint.client;

/** Tracks since when a client has sent nothing that completes or continues a command. Times are in ms. */
final class ActivityTracker {

  private double inactiveSince; // while commands are open, the time of the last check
  private boolean hadPartialCommand; // at the last check
  private int partialValueBytes; // read of an incomplete value, at the last check

  ActivityTracker(double openedAt) {
    this.inactiveSince = openedAt;
  }

  /** When the client last sent a complete command, the first part of one, or bytes of a value. */
  double inactiveSince() {
    return inactiveSince;
  }

  void commandArrived(double arrivedAt) {
    inactiveSince = arrivedAt;
  }

  /**
   * Compares what was read with the last check. Called periodically.
   *
   * @param isBusy true while commands are open or the connection is about to be closed
   * @param hasPartialCommand true if the beginning of a command was read
   * @param valueBytes how many bytes were read of an incomplete value
   * @param hasReadCommand true if a valid command was read before
   */
  void check(double now, boolean isBusy, boolean hasPartialCommand, int valueBytes, boolean hasReadCommand) {
    boolean valueProgressed = valueBytes != partialValueBytes;
    boolean commandBegan = hasPartialCommand && !hadPartialCommand && hasReadCommand;
    if (isBusy || valueProgressed || commandBegan) {
      inactiveSince = now;
    }
    partialValueBytes = valueBytes;
    hadPartialCommand = hasPartialCommand;
  }
}
