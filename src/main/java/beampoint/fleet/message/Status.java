package beampoint.fleet.message;

/**
 * The status of a member in another's view. The ordinals are the codes on the wire and the order of
 * precedence.
 */
public enum Status { ALIVE, SUSPECT, DEAD, LEFT }
