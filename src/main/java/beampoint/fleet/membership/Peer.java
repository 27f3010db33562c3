package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import beampoint.fleet.message.Status;

/** Another member, as this one knows it: state without decisions. */
final class Peer {

  /** Changed by {@link MemberTable#update} alone, which keeps its indexes by it. */
  MemberState news;
  /** When it was last heard of by its own word, however that came; and by its own datagram. */
  double freshAt = Double.NEGATIVE_INFINITY;
  double heardAt = Double.NEGATIVE_INFINITY;
  /** The highest incarnation that it has said of itself. */
  long said;
  /** While it is suspected, else null. */
  Suspicion suspicion;

  Peer(MemberState news) {
    this.news = news;
  }

  String name() {
    return news.member();
  }

  /** True while it is alive or suspected. */
  boolean isLiving() {
    return isLiving(news.status());
  }

  /** It has started anew, and does not know what is said of it. */
  boolean isBehind() {
    return said > 0 && said < news.incarnation();
  }

  /** It has said of late that it hears nobody: it can't answer, and is not held to it. */
  boolean isKnownDeaf(double now, MembershipSettings terms) {
    return news.notReceiving() && now - freshAt < terms.suspectFor();
  }

  static boolean isLiving(Status status) {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }
}
