package beampoint.fleet.distribution;

/**
 * How far one proxy is.
 *
 * @param life of its process; a later one has a higher number
 * @param appliedUpTo the last entry that it has put into force, with all before it
 * @param refused the last change of configuration, where the proxy refused that; else 0
 */
public record MemberProgress(String member, long life, long appliedUpTo, long refused) {}
