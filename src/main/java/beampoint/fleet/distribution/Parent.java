package beampoint.fleet.distribution;

/**
 * A member that another may subscribe to.
 *
 * @param isControl a control machine; else a proxy of the same site that passes changes on
 */
public record Parent(String name, boolean isControl) {}
