package beampoint.fleet.distribution;

import java.util.List;

/**
 * How far one change is, as the leader knows it.
 *
 * @param expected how many proxies are expected to apply it
 * @param applied how many have
 * @param missing those that have not and may still serve without it, the first ones of them
 * @param missingCount how many these are in all
 * @param fenced those that have not and know that they are not fresh, the first ones of them
 * @param fencedCount how many these are in all
 * @param refused those that found the change bad and kept what they had, the first ones of them
 */
public record Completion(long index, int expected, int applied, List<String> missing, int missingCount,
    List<String> fenced, int fencedCount, List<String> refused) {

  /** Every expected proxy has put it into force. */
  public boolean isDoneEverywhere() {
    return applied == expected;
  }

  /** Every expected proxy has put it into force or is fenced; the fenced ones are not done. */
  public boolean isDoneOrFenced() {
    return applied + fencedCount == expected;
  }
}
