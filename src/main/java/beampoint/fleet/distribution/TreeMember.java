package beampoint.fleet.distribution;

/**
 * A member of the distribution tree, with its role and location.
 *
 * @param region the region of its site
 * @param site empty for a control machine, which serves a whole region
 */
public record TreeMember(String name, Role role, String region, String site) {

  /** The role of a member in the tree. */
  public enum Role { CONTROL, PROXY }

  /** Creates a control machine. */
  public static TreeMember control(String name, String region) {
    return new TreeMember(name, Role.CONTROL, region, "");
  }

  /** Creates a proxy of a site. */
  public static TreeMember proxy(String name, String region, String site) {
    return new TreeMember(name, Role.PROXY, region, site);
  }

  boolean isControl() {
    return role == Role.CONTROL;
  }
}
