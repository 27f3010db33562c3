package beampoint.fleet.membership;

import beampoint.fleet.message.MemberState;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Updates to be passed on, the newest of each member, ordered by how often each was sent: those sent least go
 * first, and each is sent at most a multiple of the logarithm of the number of members (SWIM, section 4.1).
 */
final class GossipQueue {

  private static final int RETRANSMIT_MULTIPLE = 4;
  private static final double LOG_2 = Math.log(2);

  private static final class Entry {
    private final MemberState update;
    private int timesSent;

    Entry(MemberState update) {
      this.update = update;
    }

    String member() {
      return update.member();
    }

    int timesSent() {
      return timesSent;
    }
  }

  private final Map<String, Entry> byMember = new HashMap<>();
  private final TreeSet<Entry> leastSent =
      new TreeSet<>(Comparator.comparingInt(Entry::timesSent).thenComparing(Entry::member));

  /** Adds an update; it replaces an older one of the same member. */
  void add(MemberState update) {
    Entry entry = new Entry(update);
    Entry older = byMember.put(entry.member(), entry);
    if (older != null) {
      leastSent.remove(older);
    }
    leastSent.add(entry);
  }

  boolean isEmpty() {
    return leastSent.isEmpty();
  }

  /**
   * Returns the updates for the next message and counts them as sent once more.
   *
   * @param members the number of members, which limits how often an update is sent
   */
  List<MemberState> next(int maxUpdates, int members) {
    if (leastSent.isEmpty()) {
      return List.of();
    }
    List<Entry> chosen = new ArrayList<>(maxUpdates);
    while (chosen.size() < maxUpdates && !leastSent.isEmpty()) {
      chosen.add(leastSent.pollFirst());
    }
    int limit = retransmitLimit(members);
    List<MemberState> updates = new ArrayList<>(chosen.size());
    for (Entry entry : chosen) {
      updates.add(entry.update);
      entry.timesSent++;
      if (entry.timesSent < limit) {
        leastSent.add(entry);
      } else {
        byMember.remove(entry.member());
      }
    }
    return updates;
  }

  private static int retransmitLimit(int members) {
    return RETRANSMIT_MULTIPLE * (int) Math.ceil(Math.log(members + 1) / LOG_2);
  }
}
