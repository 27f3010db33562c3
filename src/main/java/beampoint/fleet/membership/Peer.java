package beampoint.fleet.membership;

import beampoint.fleet.message.News;
import java.util.Set;
import java.util.TreeSet;

/** Another member, as this one knows it: facts that decide nothing. */
final class Peer {

  News news;
  /** When it was last heard of by its own word, however that came; and by its own datagram. */
  double freshAt = Double.NEGATIVE_INFINITY;
  double heardAt = Double.NEGATIVE_INFINITY;
  /** The highest incarnation that it has said of itself. */
  long said;
  /** Since when it is suspected, by whom, and whether it was asked a last time. */
  double suspectedAt;
  final Set<String> accusers = new TreeSet<>();
  boolean askedLast;

  Peer(News news) {
    this.news = news;
  }
}
