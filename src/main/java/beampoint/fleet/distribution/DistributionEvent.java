package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import java.util.List;
import java.util.Set;

/** What a member of the tree observes. */
public sealed interface DistributionEvent {

  /** Some time has passed. */
  record Tick() implements DistributionEvent {}

  /** A message has come. */
  record Received(String from, DistributionMessage message) implements DistributionEvent {}

  /** Whom it may subscribe to, the best first, as {@link DistributionTree} has it. */
  record ParentsChanged(List<Parent> parents) implements DistributionEvent {}

  /** Its own copy of a log has these entries committed. */
  record Committed(long log, List<ChangeEntry> entries) implements DistributionEvent {}

  /** Its own copy of a log begins anew from a snapshot. */
  record Installed(long log, ConfigurationSnapshot snapshot) implements DistributionEvent {}

  /** It leads the control machines of a log from now on; these proxies are expected to apply every change. */
  record BecameLeader(long log, Set<String> expected) implements DistributionEvent {}

  /** It leads no longer. */
  record LostLeadership() implements DistributionEvent {}
}
