package beampoint.fleet.changes;

import beampoint.fleet.changes.LogMessage.Committed;
import beampoint.fleet.changes.LogMessage.Fetch;
import beampoint.fleet.changes.LogMessage.SnapshotPart;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;

/**
 * Committed entries on their way to a replica that lacks them, and how they are asked for and given. What is
 * committed is the same everywhere, so any replica may give it, under any leader.
 *
 * @param source who is asked
 * @param until the index up to which entries are known to be committed
 * @param asked the last question, so that repeated answers do not make more of them
 * @param collected what parts of a snapshot have brought so far
 * @param floors from part 0 of it
 */
record CatchUp(String source, long until, Fetch asked, double askedAt, List<ChangeEntry> collected,
    SortedMap<String, Long> floors) {

  /** Asks for what is committed up to an index, if anything lacks. */
  static void wanted(Turn turn, String source, long until) {
    if (turn.log.commit() < until) {
      CatchUp before = turn.catchUp;
      boolean same = before != null && before.source.equals(source);
      turn.catchUp = same ? before.withUntil(until)
          : new CatchUp(source, until, null, 0, List.of(), Collections.emptySortedMap());
      ask(turn);
    }
  }

  private CatchUp withUntil(long index) {
    return new CatchUp(source, Math.max(until, index), asked, askedAt, collected, floors);
  }

  /** Asks for the next piece, again only after a time. */
  static void ask(Turn turn) {
    CatchUp now = turn.catchUp;
    if (now == null || turn.log.commit() >= now.until) {
      return;
    }
    boolean further = now.asked != null && now.asked.identity().equals(turn.log.identity())
        && now.asked.from() == turn.log.commit() + 1;
    Fetch next = further ? now.asked : new Fetch(turn.log.identity(), turn.log.commit() + 1, 0, 0);
    if (!next.equals(now.asked) || turn.now >= now.askedAt + turn.terms.retryAfter()) {
      turn.catchUp = new CatchUp(now.source, now.until, next, turn.now, now.collected, now.floors);
      turn.send(now.source, next);
    }
  }

  /** Gives committed entries, or a part of the snapshot where the first of them are in it. */
  static void give(Turn turn, String to, Fetch fetch) {
    LogState log = turn.log;
    if (!fetch.identity().equals(log.identity()) || fetch.from() > log.commit()) {
      return;
    }
    if (fetch.from() > log.snapshot().index()) {
      List<ChangeEntry> entries = log.between(fetch.from(), log.commit());
      turn.send(to, new Committed(log.identity(), Batches.first(entries, turn.terms.limits())));
      return;
    }
    Snapshot snapshot = log.snapshot();
    List<List<ChangeEntry>> parts = Batches.all(snapshot.entries(), turn.terms.limits());
    boolean further = fetch.snapshotIndex() == snapshot.index() && fetch.part() < parts.size();
    int part = further ? fetch.part() : 0;
    turn.send(to, new SnapshotPart(log.identity(), snapshot.index(), snapshot.completeFrom(), part,
        parts.size(), parts.get(part), part == 0 ? snapshot.floors() : Collections.emptySortedMap()));
  }

  static void entries(Turn turn, Committed message) {
    if (message.identity().equals(turn.log.identity())) {
      turn.advance(turn.log.learned(message.entries()));
      ask(turn);
    }
  }

  /** Takes the part that was asked for, or the first one of a newer snapshot. */
  static void part(Turn turn, SnapshotPart message) {
    CatchUp now = turn.catchUp;
    LogState log = turn.log;
    if (now == null || now.asked == null || !message.identity().equals(log.identity())
        || message.index() <= log.commit()) {
      return;
    }
    boolean next = message.part() == now.asked.part() && message.index() == now.asked.snapshotIndex();
    if (!next && message.part() != 0) {
      return;
    }
    List<ChangeEntry> all = new ArrayList<>(message.part() == 0 ? List.of() : now.collected);
    all.addAll(message.entries());
    SortedMap<String, Long> floors = message.part() == 0 ? message.floors() : now.floors;
    if (message.part() + 1 == message.parts()) {
      turn.install(new Snapshot(message.index(), message.completeFrom(), List.copyOf(all), floors));
      turn.catchUp = new CatchUp(now.source, now.until, null, 0, List.of(), Collections.emptySortedMap());
    } else if (all.size() <= turn.terms.limits().keptPurges() + 1) {
      Fetch fetch = new Fetch(log.identity(), log.commit() + 1, message.index(), message.part() + 1);
      turn.catchUp = new CatchUp(now.source, now.until, fetch, turn.now, List.copyOf(all), floors);
      turn.send(now.source, fetch);
    }
    ask(turn);
  }
}
