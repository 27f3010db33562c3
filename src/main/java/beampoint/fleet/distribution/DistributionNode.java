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
import beampoint.fleet.distribution.ReportParts.Part;
import beampoint.fleet.distribution.ReportParts.Passed;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.List;

/**
 * One member of the distribution tree: a proxy, or a control machine. It subscribes to a parent, applies what
 * comes, passes it on to its own children, and reports up how far it and those below it are. A state machine:
 * a time and an event in, actions out.
 */
public final class DistributionNode {

  private static final int LOG_BITS = 16; // that tell logs of one epoch's number apart
  private static final int SESSION_BITS = 20; // for the subscriptions of one life

  private final DistributionSettings terms;
  private final TreeMember self;
  private final AppliedChanges applied;
  private final ParentLink upward;
  private final ChildLinks children;
  private final ReportParts reports = new ReportParts();
  private final SnapshotQueue snapshots;
  private final Freshness freshness;
  private final List<DistributionAction> out = new ArrayList<>();
  private ProgressTracker tracker; // null while it does not lead
  private double now;
  private long log;
  private long head; // the last entry that it heard of
  private long sentUpTo; // by the present parent
  private double reportAt;
  private double reportedAt;
  private double fetchAgainAt;
  private int fetches; // without an answer

  /**
   * A member that has applied nothing.
   *
   * @param life of its process; a later one has a higher number
   * @param log the identity of the log; 0 where it is not known yet
   */
  public DistributionNode(DistributionSettings terms, TreeMember self, long life, long log,
      ChangeApplier applier, double now) {
    this.terms = terms;
    this.self = self;
    this.log = log;
    this.now = now;
    this.applied = new AppliedChanges(terms, applier);
    this.upward = new ParentLink(terms, life << SESSION_BITS, now);
    this.children = new ChildLinks(terms);
    this.snapshots = new SnapshotQueue(terms.snapshotInterval());
    this.freshness = new Freshness(terms);
  }

  /**
   * The number by which the tree names a log: a log that was founded later has a higher one, but for two that
   * were founded under epochs of one number.
   */
  public static long logId(Epoch identity) {
    return identity.number() << LOG_BITS | identity.hashCode() & (1 << LOG_BITS) - 1;
  }

  /** Takes one event; the time never goes back. */
  public List<DistributionAction> handle(double time, DistributionEvent event) {
    now = time;
    out.clear();
    if (event instanceof Tick) {
      tick();
    } else if (event instanceof Received e) {
      receive(e.from(), e.message());
    } else if (event instanceof ParentsChanged e) {
      upward.candidates(e.parents());
      chooseParent();
    } else if (event instanceof Committed e) {
      adoptNewer(e.log());
      take(e.entries());
    } else if (event instanceof Installed e) {
      adoptNewer(e.log());
      restore(e.snapshot());
    } else if (event instanceof BecameLeader e) {
      adoptNewer(e.log());
      tracker = new ProgressTracker(terms, e.expected(), now);
    } else if (event instanceof LostLeadership) {
      tracker = null;
    }
    freshness.observe(now, appliedUpTo());
    return List.copyOf(out);
  }

  /** The last entry that it has put into force, with all before it. */
  public long appliedUpTo() {
    return applied.upTo();
  }

  /** Whether the leader may count on it: false as soon as its lease is over, by its own clock. */
  public boolean isFresh(double time) {
    return freshness.isFresh(time, appliedUpTo());
  }

  /** How often its lease has run out. */
  public long lapses() {
    return freshness.lapses();
  }

  /** How often an entry came that had been applied before. */
  public long repeats() {
    return applied.repeats();
  }

  /** Its parent; empty for none. */
  public String parent() {
    return upward.parent();
  }

  /** Who has subscribed to it. */
  public List<String> children() {
    return children.names();
  }

  /** What it knows of all proxies as the leader; null where it does not lead. */
  public ProgressTracker tracker() {
    return tracker;
  }

  // ---- Steps ----------------------------------------------------------------------------------------------

  private void tick() {
    chooseParent();
    children.forgetSilent(now);
    long sourceAge = tracker != null ? 0 : (long) Math.ceil(upward.sourceAge(now));
    out.addAll(children.due(now, log, sourceAge, applied.tail()));
    sendSnapshots();
    if (now >= reportAt) {
      report();
    }
    if (now >= fetchAgainAt && isBehindWhatWasSent()) {
      fetch();
    }
  }

  private void chooseParent() {
    String before = upward.parent();
    long session = upward.session();
    if (upward.choose(now)) {
      reports.restart();
      sentUpTo = 0;
      if (!before.isEmpty()) {
        send(before, new Unsubscribe(log, session));
      }
      report();
    }
  }

  private void report() {
    reportAt = now + terms.reportInterval();
    reportedAt = now;
    if (upward.parent().isEmpty()) {
      return;
    }
    boolean isFirst = true;
    do {
      Part part = reports.next(now, isFirst && !self.isControl());
      List<MemberProgress> progress = new ArrayList<>();
      if (part.hasSelf()) {
        progress.add(MemberProgress.ofSender(appliedUpTo(), applied.refused()));
      }
      progress.addAll(part.progress());
      send(upward.parent(), new Report(log, upward.session(), part.token(), appliedUpTo(), progress));
      isFirst = false;
    } while (reports.hasWaiting());
  }

  // ---- What comes -----------------------------------------------------------------------------------------

  private void receive(String from, DistributionMessage message) {
    if (message instanceof Report m) {
      takeReport(from, m);
    } else if (message instanceof Unsubscribe m) {
      children.unsubscribe(from, m.session());
    } else if (message instanceof Refusal m && upward.isFrom(from, m.session())) {
      upward.failed(now);
    } else if (isSource(from)) {
      adoptNewer(message.log());
    }
    if (message.log() != log) {
      return;
    }
    if (message instanceof Batch m) {
      takeBatch(from, m);
    } else if (message instanceof Fetch m) {
      answer(from, m);
    } else if (message instanceof SnapshotReply m) {
      restore(m.snapshot());
    }
  }

  private void restore(ConfigurationSnapshot snapshot) {
    if (applied.restore(snapshot)) {
      head = Math.max(head, appliedUpTo());
      fetchAnswered();
    }
  }

  private boolean isSource(String name) {
    return upward.candidates().stream().anyMatch(parent -> parent.name().equals(name));
  }

  /** The control machines have begun another log: what this member holds is of none. */
  private void adoptNewer(long other) {
    if (other <= log) {
      return;
    }
    log = other;
    head = 0;
    sentUpTo = 0;
    applied.forget();
    freshness.revoke();
    reports.restart();
    children.clear();
  }

  private void takeReport(String from, Report report) {
    boolean mayFeed = self.isControl() || upward.isFedByControl();
    if (!mayFeed || !children.take(now, from, report, log)) {
      send(from, new Refusal(log, report.session()));
      return;
    }
    if (report.log() != log || log == 0) {
      return; // how far it is in another log says nothing here, and without a log nothing is applied
    }
    List<MemberProgress> progress = report.progress().stream()
        .map(p -> p.isOfSender() ? p.of(from, report.session() >> SESSION_BITS) : p).toList();
    if (tracker != null) {
      tracker.heard(now, progress);
      children.echo(from, report.session(), report.token());
    } else if (!progress.isEmpty()) {
      reports.add(new Passed(from, report.session(), report.token(), progress));
      reportSoon();
    }
  }

  /** What children said is passed on early, so that their leases are renewed in time. */
  private void reportSoon() {
    double earliest = Math.max(now, reportedAt + terms.reportInterval() / 2);
    reportAt = Math.min(reportAt, earliest);
  }

  private void takeBatch(String from, Batch batch) {
    boolean isParents = upward.isFrom(from, batch.session());
    head = Math.max(head, batch.head());
    if (isParents) {
      upward.heard(now, batch.sourceAge());
      sentUpTo = Math.max(sentUpTo, batch.sentUpTo());
      batch.echoes().forEach(this::echoed);
    }
    long before = appliedUpTo();
    take(batch.entries());
    if (batch.session() == 0 && appliedUpTo() > before) {
      fetchAnswered();
    }
    if (isBehindWhatWasSent() && now >= fetchAgainAt) {
      fetch();
    }
  }

  // ---- Entries that did not come --------------------------------------------------------------------------

  private boolean isBehindWhatWasSent() {
    return appliedUpTo() < sentUpTo || applied.hasGap();
  }

  /** Asks for the oldest that is lacking: the parent first, then by turns all that it may subscribe to. */
  private void fetch() {
    List<Parent> sources = upward.candidates();
    if (sources.isEmpty()) {
      return;
    }
    String source = fetches == 0 ? upward.parent() : sources.get(fetches % sources.size()).name();
    fetches++;
    fetchAgainAt = now + terms.fetchTimeout();
    send(source, new Fetch(log, appliedUpTo() + 1));
  }

  /** The next may be asked for: one answer is on its way at a time. */
  private void fetchAnswered() {
    fetches = 0;
    fetchAgainAt = now;
  }

  private void answer(String to, Fetch fetch) {
    ChangeTail tail = applied.tail();
    boolean begins = fetch.from() == 1 && tail.last() > terms.window();
    if (begins || fetch.from() <= tail.base().index()) {
      snapshots.add(to);
      sendSnapshots();
      return;
    }
    List<ChangeEntry> entries = tail.from(fetch.from(), terms.window(), terms.batchBytes());
    if (!entries.isEmpty()) {
      send(to, new Batch(log, 0, 0, tail.last(), 0, List.of(), entries));
    }
  }

  private void sendSnapshots() {
    snapshots.due(now).forEach(to -> send(to, new SnapshotReply(log, applied.tail().latest())));
  }

  private void send(String to, DistributionMessage message) {
    out.add(new Send(to, message));
  }

  private void take(List<ChangeEntry> entries) {
    for (ChangeEntry entry : entries) {
      applied.take(entry);
    }
    head = Math.max(head, appliedUpTo());
  }

  /** The leader has seen one of its reports, and with it those of children that went along. */
  private void echoed(long token) {
    Part part = reports.echoed(token);
    if (part == null) {
      return;
    }
    if (part.hasSelf()) {
      freshness.renew(now, part.sentAt(), head);
    }
    for (Passed passed : part.passed()) {
      children.echo(passed.child(), passed.session(), passed.token());
    }
  }
}
