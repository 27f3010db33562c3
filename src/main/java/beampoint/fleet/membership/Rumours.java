package beampoint.fleet.membership;

import beampoint.fleet.message.News;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * News that are to be passed on, the newest of each member, and how often each was: those that were sent
 * least go first, and none more than a multiple of the logarithm of the members' number (SWIM, section 4.1).
 */
final class Rumours {

  private static final int MULTIPLE = 4;

  private static final class Rumour {
    private final News news;
    private int sent;

    Rumour(News news) {
      this.news = news;
    }
  }

  private final Map<String, Rumour> rumours = new TreeMap<>();

  void add(News news) {
    rumours.put(news.member(), new Rumour(news));
  }

  boolean isEmpty() {
    return rumours.isEmpty();
  }

  /** The next so many, for one message among so many members. */
  List<News> next(int most, int members) {
    int limit = MULTIPLE * (int) Math.ceil(Math.log(members + 1) / Math.log(2));
    List<Rumour> chosen = rumours.values().stream().sorted(Comparator.comparingInt(r -> r.sent)).limit(most)
        .toList();
    List<News> news = new ArrayList<>();
    for (Rumour rumour : chosen) {
      news.add(rumour.news);
      if (++rumour.sent >= limit) {
        rumours.remove(rumour.news.member());
      }
    }
    return news;
  }
}
