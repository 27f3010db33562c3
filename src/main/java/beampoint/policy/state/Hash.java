package beampoint.policy.state;

/** Hash functions with the same results on every machine and in every run. */
public final class Hash {

  private Hash() {}

  /** The finaliser of SplitMix64. */
  public static long of(long value) {
    long z = value + 0x9e3779b97f4a7c15L;
    z = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  public static long of(String text) {
    long h = 0;
    for (int i = 0; i < text.length(); i++) {
      h = of(h ^ text.charAt(i));
    }
    return h;
  }
}
