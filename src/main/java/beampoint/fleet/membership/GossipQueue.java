package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * News that are to be passed on, the newest of each member, in the order of how often each was sent: those
 * that were sent least go first, and none more than a multiple of the logarithm of the members' number (SWIM,
 * section 4.1).
 */
final class GossipQueue {

  private static final int RETRANSMIT_MULTIPLE = 4;
  private static final double LOG_2 = Math.log(2);

  private static final class Entry {
    private final MemberState news;
    private int sent;

    Entry(MemberState news) {
      this.news = news;
    }

    String member() {
      return news.member();
    }

    int sent() {
      return sent;
    }
  }

  private final Map<String, Entry> byMember = new HashMap<>();
  private final TreeSet<Entry> leastSent =
      new TreeSet<>(Comparator.comparingInt(Entry::sent).thenComparing(Entry::member));

  /** Takes news in place of older ones of the same member. */
  void add(MemberState news) {
    Entry entry = new Entry(news);
    Entry older = byMember.put(entry.member(), entry);
    if (older != null) {
      leastSent.remove(older);
    }
    leastSent.add(entry);
  }

  boolean isEmpty() {
    return leastSent.isEmpty();
  }

  /** The next so many, for one message among so many members. */
  List<MemberState> next(int most, int members) {
    if (leastSent.isEmpty()) {
      return List.of();
    }
    List<Entry> chosen = new ArrayList<>(most);
    while (chosen.size() < most && !leastSent.isEmpty()) {
      chosen.add(leastSent.pollFirst());
    }
    int limit = retransmitLimit(members);
    List<MemberState> news = new ArrayList<>(chosen.size());
    for (Entry entry : chosen) {
      news.add(entry.news);
      entry.sent++;
      if (entry.sent < limit) {
        leastSent.add(entry);
      } else {
        byMember.remove(entry.member());
      }
    }
    return news;
  }

  private static int retransmitLimit(int members) {
    return RETRANSMIT_MULTIPLE * (int) Math.ceil(Math.log(members + 1) / LOG_2);
  }
}
