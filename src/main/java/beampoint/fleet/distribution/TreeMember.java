package beampoint.fleet.distribution;

/**
 * Where a member of the distribution tree stands.
 *
 * @param region the region of its site
 * @param site empty for a control machine, which serves a whole region
 */
public record TreeMember(String name, Role role, String region, String site) {

  /** What a member is in the tree. */
  public enum Role { CONTROL, PROXY }

  /** A control machine. */
  public static TreeMember control(String name, String region) {
    return new TreeMember(name, Role.CONTROL, region, "");
  }

  /** A proxy of a site. */
  public static TreeMember proxy(String name, String region, String site) {
    return new TreeMember(name, Role.PROXY, region, site);
  }

  boolean isControl() {
    return role == Role.CONTROL;
  }
}
