package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import java.util.List;
import java.util.Set;

/** An input to a member of the tree. */
public sealed interface DistributionEvent {

  /** Time has passed; to be delivered at regular intervals. */
  record Tick() implements DistributionEvent {}

  /** A message has been received. */
  record Received(String from, DistributionMessage message) implements DistributionEvent {}

  /** The members to which this one may subscribe, in order of preference; see {@link DistributionTree}. */
  record ParentsChanged(List<Parent> parents) implements DistributionEvent {}

  /** Entries have been committed in this member's own replica of a log. */
  record Committed(long logId, List<ChangeEntry> entries) implements DistributionEvent {}

  /** This member's own replica of a log has been replaced by a snapshot. */
  record Installed(long logId, ConfigurationSnapshot snapshot) implements DistributionEvent {}

  /**
   * This member has become the leader of a log.
   *
   * @param expected the proxies that are expected to apply every change
   */
  record BecameLeader(long logId, Set<String> expected) implements DistributionEvent {}

  /** This member is no longer the leader. */
  record LostLeadership() implements DistributionEvent {}
}
