package beampoint.emulator;

import java.util.Arrays;

/** Counts the bytes that emulated members send: in total, and in each member's worst second. */
public final class MemberTraffic {

  private static final double MS_PER_SECOND = 1_000;

  /** The bytes of each member's current second and of its worst second. */
  private static final class Seconds {
    private final long[] current;
    private final long[] bytes;
    private final long[] worst;

    Seconds(int members) {
      this.current = new long[members];
      this.bytes = new long[members];
      this.worst = new long[members];
    }

    void add(int member, double now, int sent) {
      long second = (long) (now / MS_PER_SECOND);
      if (current[member] != second) {
        current[member] = second;
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

  /** Resets the worst seconds; the totals are kept. */
  public void resetWorstSeconds() {
    all.resetWorstSeconds();
    datagrams.resetWorstSeconds();
  }

  /** The largest number of bytes that any member has sent in one second. */
  public long worstSecond() {
    return all.worst();
  }

  /** The same without full views. */
  public long worstSecondOfDatagrams() {
    return datagrams.worst();
  }

  /** The bytes of all datagrams. */
  public long datagramBytes() {
    return datagramBytes;
  }

  /** The bytes of all full views. */
  public long viewBytes() {
    return viewBytes;
  }

  /** The number of full views sent; an exchange consists of two. */
  public long views() {
    return views;
  }
}
