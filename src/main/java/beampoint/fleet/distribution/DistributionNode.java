package beampoint.fleet.distribution;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.distribution.DistributionAction.Send;
import beampoint.fleet.distribution.DistributionEvent.BecameLeader;
import beampoint.fleet.distribution.DistributionEvent.Committed;
import beampoint.fleet.distribution.DistributionEvent.Installed;
import beampoint.fleet.distribution.DistributionEvent.LostLeadership;
import beampoint.fleet.distribution.DistributionEvent.ParentsChanged;
import beampoint.fleet.distribution.DistributionEvent.Received;
import beampoint.fleet.distribution.DistributionEvent.Tick;
import beampoint.fleet.distribution.DistributionMessage.Batch;
import beampoint.fleet.distribution.DistributionMessage.Fetch;
import beampoint.fleet.distribution.DistributionMessage.Refusal;
import beampoint.fleet.distribution.DistributionMessage.Report;
import beampoint.fleet.distribution.DistributionMessage.SnapshotReply;
import beampoint.fleet.distribution.DistributionMessage.Unsubscribe;
import beampoint.fleet.distribution.ReportForwarder.ChildReport;
import beampoint.fleet.distribution.ReportForwarder.OutgoingReport;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.List;

/**
 * One member of the distribution tree: a proxy or a control machine. It subscribes to a parent, applies the
 * entries that it receives, passes them on to its own children, and reports its progress and that of the
 * members below it to its parent. A state machine: it takes a time and an event, and returns actions.
 */
public final class DistributionNode {

  /** The number of low bits of a log id, which distinguish logs whose epochs have the same number. */
  private static final int LOG_HASH_BITS = 16;

  /** The number of low bits of a session, its number among the subscriptions of one process. */
  private static final int SESSION_BITS = 20;

  private final DistributionSettings settings;
  private final TreeMember self;
  private final AppliedChanges applied;
  private final ParentSubscription parent;
  private final ChildSubscriptions children;
  private final ReportForwarder reports = new ReportForwarder();
  private final SnapshotQueue snapshots;
  private final FreshnessLease freshness;
  private final List<DistributionAction> actions = new ArrayList<>();
  private ProgressTracker tracker; // null while this member is not the leader
  private double now;
  private long logId;
  private long head; // the index of the last entry known to this member, applied or not
  private long sentUpTo; // the index of the last entry sent by the current parent
  private double nextReportAt;
  private double lastReportAt;
  private double nextFetchAt;
  private int unansweredFetches;

  /**
   * Creates a member that has applied nothing.
   *
   * @param processNumber the number of its process; a later one has a higher number
   * @param logId the id of the log; 0 if it is not known yet
   */
  public DistributionNode(DistributionSettings settings, TreeMember self, long processNumber, long logId,
      ChangeApplier applier, double now) {
    this.settings = settings;
    this.self = self;
    this.logId = logId;
    this.now = now;
    this.applied = new AppliedChanges(settings, applier);
    this.parent = new ParentSubscription(settings, processNumber << SESSION_BITS, now);
    this.children = new ChildSubscriptions(settings);
    this.snapshots = new SnapshotQueue(settings.snapshotInterval());
    this.freshness = new FreshnessLease(settings);
  }

  /**
   * Returns the id of a log in the tree. A log that was founded later has a higher id, unless both were
   * founded under epochs with the same number.
   */
  public static long logId(Epoch foundingEpoch) {
    return foundingEpoch.number() << LOG_HASH_BITS | foundingEpoch.hashCode() & (1 << LOG_HASH_BITS) - 1;
  }

  /** Handles one event and returns the resulting actions. The time must not go back. */
  public List<DistributionAction> handle(double time, DistributionEvent event) {
    now = time;
    actions.clear();
    if (event instanceof Tick) {
      tick();
    } else if (event instanceof Received e) {
      receive(e.from(), e.message());
    } else if (event instanceof ParentsChanged e) {
      parent.setCandidates(e.parents());
      chooseParent();
    } else if (event instanceof Committed e) {
      adoptNewerLog(e.logId());
      accept(e.entries());
    } else if (event instanceof Installed e) {
      adoptNewerLog(e.logId());
      restore(e.snapshot());
    } else if (event instanceof BecameLeader e) {
      adoptNewerLog(e.logId());
      tracker = new ProgressTracker(settings, e.expected(), now);
    } else if (event instanceof LostLeadership) {
      tracker = null;
    }
    freshness.observe(now, appliedUpTo());
    return List.copyOf(actions);
  }

  /** The index of the last entry that this member has applied, with all before it. */
  public long appliedUpTo() {
    return applied.appliedUpTo();
  }

  /** Whether this member is fresh: false as soon as its lease has expired by its own clock. */
  public boolean isFresh(double time) {
    return freshness.isFresh(time, appliedUpTo());
  }

  /** How often this member has stopped being fresh. */
  public long lapses() {
    return freshness.lapses();
  }

  /** The number of received entries that had been applied before. */
  public long duplicates() {
    return applied.duplicates();
  }

  /** The name of the current parent; empty if there is none. */
  public String parent() {
    return parent.name();
  }

  /** The names of the members that have subscribed to this one. */
  public List<String> children() {
    return children.names();
  }

  /** The progress of all proxies, as known to the leader; null if this member is not the leader. */
  public ProgressTracker tracker() {
    return tracker;
  }

  // ---- Periodic work --------------------------------------------------------------------------------------

  private void tick() {
    chooseParent();
    children.removeTimedOut(now);
    long sourceAge = tracker != null ? 0 : (long) Math.ceil(parent.sourceAge(now));
    actions.addAll(children.dueBatches(now, logId, sourceAge, applied.tail()));
    sendSnapshots();
    if (now >= nextReportAt) {
      report();
    }
    if (now >= nextFetchAt && isMissingEntries()) {
      fetch();
    }
  }

  private void chooseParent() {
    String previous = parent.name();
    long session = parent.session();
    if (parent.choose(now)) {
      reports.restart();
      sentUpTo = 0;
      if (!previous.isEmpty()) {
        send(previous, new Unsubscribe(logId, session));
      }
      report();
    }
  }

  private void report() {
    nextReportAt = now + settings.reportInterval();
    lastReportAt = now;
    if (parent.name().isEmpty()) {
      return;
    }
    boolean isFirst = true;
    do {
      OutgoingReport report = reports.next(now, isFirst && !self.isControl());
      List<MemberProgress> progress = new ArrayList<>();
      if (report.includesSelf()) {
        progress.add(MemberProgress.ofSender(appliedUpTo(), applied.refusedIndex()));
      }
      progress.addAll(report.progress());
      send(parent.name(), new Report(logId, parent.session(), report.token(), appliedUpTo(), progress));
      isFirst = false;
    } while (reports.hasPending());
  }

  // ---- Received messages ----------------------------------------------------------------------------------

  private void receive(String from, DistributionMessage message) {
    if (message instanceof Report m) {
      receiveReport(from, m);
    } else if (message instanceof Unsubscribe m) {
      children.unsubscribe(from, m.session());
    } else if (message instanceof Refusal m && parent.isCurrent(from, m.session())) {
      parent.markFailed(now);
    } else if (isCandidate(from)) {
      adoptNewerLog(message.logId());
    }
    if (message.logId() != logId) {
      return;
    }
    if (message instanceof Batch m) {
      receiveBatch(from, m);
    } else if (message instanceof Fetch m) {
      replyToFetch(from, m);
    } else if (message instanceof SnapshotReply m) {
      restore(m.snapshot());
    }
  }

  private void restore(ConfigurationSnapshot snapshot) {
    if (applied.restore(snapshot)) {
      head = Math.max(head, appliedUpTo());
      allowNextFetch();
    }
  }

  private boolean isCandidate(String name) {
    return parent.candidates().stream().anyMatch(candidate -> candidate.name().equals(name));
  }

  /** Discards all state of the present log if the control machines have started a newer one. */
  private void adoptNewerLog(long other) {
    if (other <= logId) {
      return;
    }
    logId = other;
    head = 0;
    sentUpTo = 0;
    applied.reset();
    freshness.revoke();
    reports.restart();
    children.clear();
  }

  private void receiveReport(String from, Report report) {
    boolean mayHaveChildren = self.isControl() || parent.isControl();
    if (!mayHaveChildren || !children.accept(now, from, report, logId)) {
      send(from, new Refusal(logId, report.session()));
      return;
    }
    if (report.logId() != logId || logId == 0) {
      return; // progress in another log does not apply here, and without a log nothing has been applied
    }
    List<MemberProgress> progress = report.progress().stream()
        .map(p -> p.isOfSender() ? p.withMember(from, report.session() >> SESSION_BITS) : p).toList();
    if (tracker != null) {
      tracker.update(now, progress);
      children.echo(from, report.session(), report.token());
    } else if (!progress.isEmpty()) {
      reports.add(new ChildReport(from, report.session(), report.token(), progress));
      reportSoon();
    }
  }

  /** Brings the next report forward, so that the leases of the children are renewed in time. */
  private void reportSoon() {
    double earliest = Math.max(now, lastReportAt + settings.reportInterval() / 2);
    nextReportAt = Math.min(nextReportAt, earliest);
  }

  private void receiveBatch(String from, Batch batch) {
    boolean isFromParent = parent.isCurrent(from, batch.session());
    head = Math.max(head, batch.head());
    if (isFromParent) {
      parent.heard(now, batch.sourceAge());
      sentUpTo = Math.max(sentUpTo, batch.sentUpTo());
      batch.echoes().forEach(this::handleEcho);
    }
    long before = appliedUpTo();
    accept(batch.entries());
    if (batch.session() == 0 && appliedUpTo() > before) {
      allowNextFetch();
    }
    if (isMissingEntries() && now >= nextFetchAt) {
      fetch();
    }
  }

  // ---- Missing entries ------------------------------------------------------------------------------------

  private boolean isMissingEntries() {
    return appliedUpTo() < sentUpTo || applied.hasGap();
  }

  /**
   * Requests the oldest missing entry: first from the parent and, while there is no answer, from all
   * candidates in turn.
   */
  private void fetch() {
    List<Parent> candidates = parent.candidates();
    if (candidates.isEmpty()) {
      return;
    }
    String source = unansweredFetches == 0 ? parent.name()
        : candidates.get(unansweredFetches % candidates.size()).name();
    unansweredFetches++;
    nextFetchAt = now + settings.fetchTimeout();
    send(source, new Fetch(logId, appliedUpTo() + 1));
  }

  /** Allows the next fetch at once; there is one outstanding fetch at a time. */
  private void allowNextFetch() {
    unansweredFetches = 0;
    nextFetchAt = now;
  }

  private void replyToFetch(String to, Fetch fetch) {
    ChangeTail tail = applied.tail();
    boolean startsFromNothing = fetch.from() == 1 && tail.last() > settings.window();
    if (startsFromNothing || fetch.from() <= tail.base().index()) {
      snapshots.add(to);
      sendSnapshots();
      return;
    }
    List<ChangeEntry> entries = tail.entriesFrom(fetch.from(), settings.window(), settings.batchBytes());
    if (!entries.isEmpty()) {
      send(to, new Batch(logId, 0, 0, tail.last(), 0, List.of(), entries));
    }
  }

  private void sendSnapshots() {
    snapshots.takeDue(now).forEach(to -> send(to, new SnapshotReply(logId, applied.tail().latest())));
  }

  private void send(String to, DistributionMessage message) {
    actions.add(new Send(to, message));
  }

  private void accept(List<ChangeEntry> entries) {
    for (ChangeEntry entry : entries) {
      applied.accept(entry);
    }
    head = Math.max(head, appliedUpTo());
  }

  /** Handles an echo: the leader has received one of this member's reports and the child reports in it. */
  private void handleEcho(long token) {
    OutgoingReport report = reports.confirm(token);
    if (report == null) {
      return;
    }
    if (report.includesSelf()) {
      freshness.renew(now, report.sentAt(), head);
    }
    for (ChildReport childReport : report.childReports()) {
      children.echo(childReport.child(), childReport.session(), childReport.token());
    }
  }
}
