package beampoint.emulator;

import java.util.Arrays;

/** The bytes that the members of an emulated fleet send: in all, and each member's worst second. */
public final class MemberTraffic {

  private static final double SECOND = 1_000; // ms

  private final long[] second; // the one that is being counted, by member
  private final long[] inSecond;
  private final long[] worst;
  private long datagramBytes;
  private long views;
  private long viewBytes;

  MemberTraffic(int members) {
    this.second = new long[members];
    this.inSecond = new long[members];
    this.worst = new long[members];
  }

  void datagram(int from, double now, int bytes) {
    datagramBytes += bytes;
    add(from, now, bytes);
  }

  void view(int from, double now, int bytes) {
    views++;
    viewBytes += bytes;
    add(from, now, bytes);
  }

  private void add(int from, double now, int bytes) {
    long present = (long) (now / SECOND);
    if (second[from] != present) {
      second[from] = present;
      inSecond[from] = 0;
    }
    inSecond[from] += bytes;
    worst[from] = Math.max(worst[from], inSecond[from]);
  }

  /** Begins anew with the worst seconds. */
  public void forgetWorst() {
    Arrays.fill(worst, 0);
  }

  /** What a member sent in its worst second, for the member for which that is the most. */
  public long worstSecond() {
    return Arrays.stream(worst).max().orElse(0);
  }

  /** Of all datagrams. */
  public long datagramBytes() {
    return datagramBytes;
  }

  /** Of all whole views. */
  public long viewBytes() {
    return viewBytes;
  }

  /** How many whole views were sent; an exchange has two. */
  public long views() {
    return views;
  }
}
