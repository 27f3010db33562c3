package beampoint.emulator;

import java.util.Arrays;

/** The bytes that the members of an emulated fleet send: in all, and each member's worst second. */
public final class MemberTraffic {

  private static final double SECOND = 1_000; // ms

  /** The bytes of each member's present second, and of its worst. */
  private static final class Seconds {
    private final long[] present;
    private final long[] bytes;
    private final long[] worst;

    Seconds(int members) {
      this.present = new long[members];
      this.bytes = new long[members];
      this.worst = new long[members];
    }

    void add(int member, double now, int sent) {
      long second = (long) (now / SECOND);
      if (present[member] != second) {
        present[member] = second;
        bytes[member] = 0;
      }
      bytes[member] += sent;
      worst[member] = Math.max(worst[member], bytes[member]);
    }

    void resetWorstSeconds() {
      Arrays.fill(worst, 0);
    }

    long worst() {
      return Arrays.stream(worst).max().orElse(0);
    }
  }

  private final Seconds all;
  private final Seconds datagrams;
  private long datagramBytes;
  private long views;
  private long viewBytes;

  MemberTraffic(int members) {
    this.all = new Seconds(members);
    this.datagrams = new Seconds(members);
  }

  void datagram(int from, double now, int bytes) {
    datagramBytes += bytes;
    datagrams.add(from, now, bytes);
    all.add(from, now, bytes);
  }

  void view(int from, double now, int bytes) {
    views++;
    viewBytes += bytes;
    all.add(from, now, bytes);
  }

  /** Begins anew with the worst seconds. */
  public void resetWorstSeconds() {
    all.resetWorstSeconds();
    datagrams.resetWorstSeconds();
  }

  /** What a member sent in its worst second, for the member for which that is the most. */
  public long worstSecond() {
    return all.worst();
  }

  /** The same without whole views. */
  public long worstSecondOfDatagrams() {
    return datagrams.worst();
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
