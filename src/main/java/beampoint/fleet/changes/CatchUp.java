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
 * @param targetIndex the index up to which entries are known to be committed
 * @param lastFetch the last question, so that repeated answers do not make more of them
 * @param collected what parts of a snapshot have brought so far
 * @param floors from part 0 of it
 */
record CatchUp(String source, long targetIndex, Fetch lastFetch, double lastFetchAt,
    List<ChangeEntry> collected, SortedMap<String, Long> floors) {

  /** Asks for what is committed up to an index, if anything lacks. */
  static void start(StepContext step, String source, long targetIndex) {
    if (step.log.commit() < targetIndex) {
      CatchUp before = step.catchUp;
      boolean same = before != null && before.source.equals(source);
      step.catchUp = same ? before.withTarget(targetIndex)
          : new CatchUp(source, targetIndex, null, 0, List.of(), Collections.emptySortedMap());
      fetchNext(step);
    }
  }

  private CatchUp withTarget(long index) {
    return new CatchUp(source, Math.max(targetIndex, index), lastFetch, lastFetchAt, collected, floors);
  }

  /** Asks for the next piece, again only after a time. */
  static void fetchNext(StepContext step) {
    CatchUp current = step.catchUp;
    if (current == null || step.log.commit() >= current.targetIndex) {
      return;
    }
    boolean continues = current.lastFetch != null && current.lastFetch.identity().equals(step.log.identity())
        && current.lastFetch.from() == step.log.commit() + 1;
    Fetch next = continues ? current.lastFetch : new Fetch(step.log.identity(), step.log.commit() + 1, 0, 0);
    if (!next.equals(current.lastFetch) || step.now >= current.lastFetchAt + step.settings.retryInterval()) {
      step.catchUp = new CatchUp(current.source, current.targetIndex, next, step.now, current.collected,
          current.floors);
      step.send(current.source, next);
    }
  }

  /** Gives committed entries, or a part of the snapshot where the first of them are in it. */
  static void serve(StepContext step, String to, Fetch fetch) {
    LogState log = step.log;
    if (!fetch.identity().equals(log.identity()) || fetch.from() > log.commit()) {
      return;
    }
    if (fetch.from() > log.snapshot().index()) {
      List<ChangeEntry> entries = log.between(fetch.from(), log.commit());
      step.send(to, new Committed(log.identity(), Batches.first(entries, step.settings.limits())));
      return;
    }
    Snapshot snapshot = log.snapshot();
    List<List<ChangeEntry>> parts = Batches.split(snapshot.entries(), step.settings.limits());
    boolean continues = fetch.snapshotIndex() == snapshot.index() && fetch.part() < parts.size();
    int part = continues ? fetch.part() : 0;
    step.send(to, new SnapshotPart(log.identity(), snapshot.index(), snapshot.completeFrom(), part,
        parts.size(), parts.get(part), part == 0 ? snapshot.floors() : Collections.emptySortedMap()));
  }

  static void receiveEntries(StepContext step, Committed message) {
    if (message.identity().equals(step.log.identity())) {
      step.advance(step.log.withCommitted(message.entries()));
      fetchNext(step);
    }
  }

  /** Takes the part that was asked for, or the first one of a newer snapshot. */
  static void receivePart(StepContext step, SnapshotPart message) {
    CatchUp current = step.catchUp;
    LogState log = step.log;
    if (current == null || current.lastFetch == null || !message.identity().equals(log.identity())
        || message.index() <= log.commit()) {
      return;
    }
    boolean isNext = message.part() == current.lastFetch.part()
        && message.index() == current.lastFetch.snapshotIndex();
    if (!isNext && message.part() != 0) {
      return;
    }
    List<ChangeEntry> all = new ArrayList<>(message.part() == 0 ? List.of() : current.collected);
    all.addAll(message.entries());
    SortedMap<String, Long> floors = message.part() == 0 ? message.floors() : current.floors;
    if (message.part() + 1 == message.parts()) {
      step.install(new Snapshot(message.index(), message.completeFrom(), List.copyOf(all), floors));
      step.catchUp = new CatchUp(current.source, current.targetIndex, null, 0, List.of(),
          Collections.emptySortedMap());
    } else if (all.size() <= step.settings.limits().keptPurges() + 1) {
      Fetch fetch = new Fetch(log.identity(), log.commit() + 1, message.index(), message.part() + 1);
      step.catchUp = new CatchUp(current.source, current.targetIndex, fetch, step.now, List.copyOf(all),
          floors);
      step.send(current.source, fetch);
    }
    fetchNext(step);
  }
}
