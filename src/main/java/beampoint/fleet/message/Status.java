package beampoint.fleet.message;

/** How a member stands in another's view. */
public enum Status { ALIVE, SUSPECT, DEAD, LEFT }
