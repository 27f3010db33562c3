package beampoint.fleet.distribution;

/**
 * A member to which another may subscribe.
 *
 * @param isControl true for a control machine; false for a proxy of the same site that passes changes on
 */
public record Parent(String name, boolean isControl) {}
