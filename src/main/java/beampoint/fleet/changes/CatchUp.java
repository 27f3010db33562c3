package beampoint.fleet.changes;

import beampoint.fleet.changes.LogMessage.CommittedEntries;
import beampoint.fleet.changes.LogMessage.Fetch;
import beampoint.fleet.changes.LogMessage.SnapshotPart;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SortedMap;

/**
 * The catch-up of a replica that lacks committed entries, at the fetching and at the serving side. Committed
 * entries are the same at all replicas, so any replica may serve them, under any leader.
 *
 * @param source the replica that is asked
 * @param targetIndex the index up to which this replica has to fetch: a committed index that it learned from
 *     a leader
 * @param lastFetch the last request, or null; a duplicate answer does not cause a further request
 * @param lastFetchAt when the last request was sent, in ms
 * @param collected the entries of the snapshot parts received so far
 * @param droppedNumbers the dropped numbers of that snapshot, which its part 0 contains; see {@link Snapshot}
 */
record CatchUp(String source, long targetIndex, Fetch lastFetch, double lastFetchAt,
    List<ChangeEntry> collected, SortedMap<String, Long> droppedNumbers) {

  /** Fetches the committed entries up to an index, if any of them are missing. */
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
    return new CatchUp(source, Math.max(targetIndex, index), lastFetch, lastFetchAt, collected,
        droppedNumbers);
  }

  /** Requests the next entries or snapshot part; the same request is repeated after the retry interval. */
  static void fetchNext(StepContext step) {
    CatchUp current = step.catchUp;
    if (current == null || step.log.commit() >= current.targetIndex) {
      return;
    }
    boolean continues =
        current.lastFetch != null && current.lastFetch.foundingEpoch().equals(step.log.foundingEpoch())
            && current.lastFetch.from() == step.log.commit() + 1;
    Fetch next =
        continues ? current.lastFetch : new Fetch(step.log.foundingEpoch(), step.log.commit() + 1, 0, 0);
    if (!next.equals(current.lastFetch) || step.now >= current.lastFetchAt + step.settings.retryInterval()) {
      step.catchUp = new CatchUp(current.source, current.targetIndex, next, step.now, current.collected,
          current.droppedNumbers);
      step.send(current.source, next);
    }
  }

  /** Sends committed entries, or a snapshot part if the first requested entry has been compacted. */
  static void serve(StepContext step, String to, Fetch fetch) {
    LogState log = step.log;
    if (!fetch.foundingEpoch().equals(log.foundingEpoch()) || fetch.from() > log.commit()) {
      return;
    }
    if (fetch.from() > log.snapshot().index()) {
      List<ChangeEntry> entries = log.between(fetch.from(), log.commit());
      step.send(to,
          new CommittedEntries(log.foundingEpoch(), Batches.first(entries, step.settings.limits())));
      return;
    }
    Snapshot snapshot = log.snapshot();
    List<List<ChangeEntry>> parts = Batches.split(snapshot.entries(), step.settings.limits());
    boolean continues = fetch.snapshotIndex() == snapshot.index() && fetch.part() < parts.size();
    int part = continues ? fetch.part() : 0;
    step.send(to, new SnapshotPart(log.foundingEpoch(), snapshot.index(), snapshot.completeFrom(), part,
        parts.size(), parts.get(part), part == 0 ? snapshot.droppedNumbers() : Collections.emptySortedMap()));
  }

  static void receiveEntries(StepContext step, CommittedEntries message) {
    if (message.foundingEpoch().equals(step.log.foundingEpoch())) {
      step.advance(step.log.withCommitted(message.entries()));
      fetchNext(step);
    }
  }

  /** Accepts the requested part of a snapshot, or the first part of a newer snapshot. */
  static void receivePart(StepContext step, SnapshotPart message) {
    CatchUp current = step.catchUp;
    LogState log = step.log;
    if (current == null || current.lastFetch == null || !message.foundingEpoch().equals(log.foundingEpoch())
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
    SortedMap<String, Long> droppedNumbers =
        message.part() == 0 ? message.droppedNumbers() : current.droppedNumbers;
    if (message.part() + 1 == message.parts()) {
      step.install(new Snapshot(message.index(), message.completeFrom(), List.copyOf(all), droppedNumbers));
      step.catchUp = new CatchUp(current.source, current.targetIndex, null, 0, List.of(),
          Collections.emptySortedMap());
    } else if (all.size() <= step.settings.limits().keptPurges() + 1) {
      Fetch fetch = new Fetch(log.foundingEpoch(), log.commit() + 1, message.index(), message.part() + 1);
      step.catchUp = new CatchUp(current.source, current.targetIndex, fetch, step.now, List.copyOf(all),
          droppedNumbers);
      step.send(current.source, fetch);
    }
    fetchNext(step);
  }
}
