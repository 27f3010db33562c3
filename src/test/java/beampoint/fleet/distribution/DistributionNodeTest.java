package beampoint.fleet.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.changes.ChangeEntry;
import beampoint.fleet.changes.ChangeId;
import beampoint.fleet.changes.ConfigurationChange;
import beampoint.fleet.changes.PurgeChange;
import beampoint.fleet.changes.PurgeScope;
import beampoint.fleet.distribution.DistributionAction.Send;
import beampoint.fleet.distribution.DistributionEvent.BecameLeader;
import beampoint.fleet.distribution.DistributionEvent.Committed;
import beampoint.fleet.distribution.DistributionEvent.ParentsChanged;
import beampoint.fleet.distribution.DistributionEvent.Received;
import beampoint.fleet.distribution.DistributionEvent.Tick;
import beampoint.fleet.distribution.DistributionMessage.Batch;
import beampoint.fleet.distribution.DistributionMessage.Fetch;
import beampoint.fleet.distribution.DistributionMessage.Refusal;
import beampoint.fleet.distribution.DistributionMessage.Report;
import beampoint.fleet.distribution.DistributionMessage.SnapshotReply;
import beampoint.fleet.facts.Epoch;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** A single member of the tree: its parents, its children, its lease and its reports. */
class DistributionNodeTest {

  private static final long LOG = 5;
  private static final Epoch EPOCH = new Epoch(1, "c1", 1);
  private static final ChangeApplier APPLIES_ALL_BUT_BAD = new ChangeApplier() {
    @Override
    public Outcome apply(ChangeEntry entry) {
      boolean isBad = entry.change() instanceof ConfigurationChange c && c.document().equals("bad");
      return isBad ? Outcome.REFUSED : Outcome.APPLIED;
    }

    @Override
    public Outcome restore(ConfigurationSnapshot snapshot) {
      return Outcome.APPLIED;
    }
  };

  private static List<ChangeEntry> purges(long from, long to) {
    return LongStream.rangeClosed(from, to).mapToObj(i -> new ChangeEntry(i, EPOCH, new ChangeId("c1", i),
        new PurgeChange(1, PurgeScope.KEY, "key-" + i, i))).toList();
  }

  private static DistributionNode proxy(double now) {
    DistributionNode node = new DistributionNode(DistributionSettings.defaults(),
        TreeMember.proxy("p1", "r", "s"), 3, LOG, APPLIES_ALL_BUT_BAD, now);
    node.handle(now, new ParentsChanged(List.of(new Parent("c1", true), new Parent("c2", true))));
    return node;
  }

  private static DistributionNode leader(Set<String> expected) {
    DistributionNode node = new DistributionNode(DistributionSettings.defaults().forControlMachine(),
        TreeMember.control("c1", "r"), 1, LOG, APPLIES_ALL_BUT_BAD, 0);
    node.handle(0, new BecameLeader(LOG, expected));
    return node;
  }

  private static List<DistributionMessage> sent(List<DistributionAction> actions, String to) {
    return actions.stream().map(a -> (Send) a).filter(s -> s.to().equals(to)).map(Send::message).toList();
  }

  private static Batch batch(DistributionNode node, List<Long> echoes, List<ChangeEntry> entries, long upTo) {
    return new Batch(LOG, session(node), 0, upTo, upTo, echoes, entries);
  }

  private static long session(DistributionNode node) {
    return (3L << 20) + (node.parent().equals("c1") ? 1 : 2);
  }

  @Test
  void aParentThatTimesOutIsReplacedAndTheNextGetsAReportOfTheProgress() {
    DistributionNode node = proxy(0);
    node.handle(10, new Received("c1", batch(node, List.of(), purges(1, 3), 3)));
    List<DistributionAction> actions = new ArrayList<>();
    for (double now = 50; now <= 1_000; now += 50) {
      actions.addAll(node.handle(now, new Tick()));
    }
    assertEquals("c2", node.parent());
    Report report = (Report) sent(actions, "c2").get(0);
    assertEquals(3, report.appliedUpTo());
  }

  @Test
  void aMissingEntryIsFetchedFromTheParentAndThenFromOtherCandidates() {
    DistributionNode node = proxy(0);
    List<DistributionAction> actions = node.handle(10,
        new Received("c1", batch(node, List.of(), purges(3, 4), 4)));
    assertEquals(List.of(new Fetch(LOG, 1)), sent(actions, "c1"));
    actions = node.handle(400, new Tick());
    assertTrue(sent(actions, "c2").contains(new Fetch(LOG, 1)), actions.toString());
    node.handle(450, new Received("c2", new Batch(LOG, 0, 0, 4, 0, List.of(), purges(1, 2))));
    assertEquals(4, node.appliedUpTo());
  }

  @Test
  void theLeaseStartsWhenTheReportIsSentAndNotWhenItIsEchoed() {
    DistributionNode node = proxy(0); // its first report, with token 1, is sent at 0
    node.handle(800, new Received("c1", batch(node, List.of(1L), purges(1, 1), 1)));
    assertTrue(node.isFresh(1_979));
    assertFalse(node.isFresh(1_981));
    node.handle(1_990, new Tick());
    assertEquals(1, node.lapses());
  }

  @Test
  void anEchoOfAnEarlierSubscriptionDoesNotRenewTheLease() {
    DistributionNode node = proxy(0);
    long old = session(node);
    node.handle(10, new Received("c1", new Refusal(LOG, old)));
    node.handle(50, new Tick());
    assertEquals("c2", node.parent());
    node.handle(60, new Received("c1", new Batch(LOG, old, 0, 0, 0, List.of(1L), List.of())));
    assertFalse(node.isFresh(61));
  }

  @Test
  void aNewerLogReplacesTheOldOneAndEndsTheLease() {
    DistributionNode node = proxy(0);
    node.handle(10, new Received("c1", batch(node, List.of(1L), purges(1, 5), 5)));
    assertTrue(node.isFresh(11));
    node.handle(20, new Received("c1", new Batch(LOG + 1, session(node), 0, 0, 0, List.of(), List.of())));
    assertEquals(0, node.appliedUpTo());
    assertFalse(node.isFresh(21));
    node.handle(30, new Received("c1", new Batch(LOG, session(node), 0, 5, 5, List.of(), purges(1, 5))));
    assertEquals(0, node.appliedUpTo(), "an entry of the old log was applied");
  }

  /** No entries are queued for a slow child, the other gets all of them, and the slow one gets a snapshot. */
  @Test
  void aSlowChildDoesNotDelayOthersAndFallsBackToASnapshot() {
    DistributionNode leader = leader(Set.of("slow", "quick"));
    long last = 0;
    long sentToQuick = 0;
    List<DistributionAction> toSlow = new ArrayList<>();
    for (double now = 50; now <= 400_000; now += 50) {
      leader.handle(now, new Committed(LOG, purges(last + 1, last + 2)));
      last += 2;
      leader.handle(now, new Received("slow", new Report(LOG, 9, 1, 1, List.of())));
      leader.handle(now, new Received("quick", new Report(LOG, 9, 1, sentToQuick, List.of())));
      List<DistributionAction> actions = leader.handle(now, new Tick());
      for (DistributionMessage message : sent(actions, "quick")) {
        sentToQuick = Math.max(sentToQuick, ((Batch) message).sentUpTo());
      }
      toSlow.addAll(actions.stream().filter(a -> ((Send) a).to().equals("slow")).toList());
    }
    assertTrue(last - sentToQuick < 20, "the quick child lags by " + (last - sentToQuick));
    long sentToSlow = toSlow.stream().mapToLong(a -> ((Batch) ((Send) a).message()).entries().size()).sum();
    assertEquals(DistributionSettings.defaults().window(), sentToSlow,
        "entries sent to a child that reports no progress");
    List<DistributionAction> answer = leader.handle(400_001, new Received("slow", new Fetch(LOG, 2)));
    assertEquals(last, ((SnapshotReply) sent(answer, "slow").get(0)).snapshot().index());
  }

  @Test
  void childrenBeyondTheMaximumAreRefused() {
    DistributionNode node = proxy(0);
    List<DistributionAction> last = List.of();
    for (int i = 0; i <= DistributionSettings.defaults().maxChildren(); i++) {
      last = node.handle(10, new Received("child-" + i, new Report(LOG, 7, 1, 0, List.of())));
    }
    assertEquals(DistributionSettings.defaults().maxChildren(), node.children().size());
    assertEquals(List.of(new Refusal(LOG, 7)),
        sent(last, "child-" + DistributionSettings.defaults().maxChildren()));
  }

  /** A proxy whose own parent is a proxy accepts no children, so proxies cannot form a cycle. */
  @Test
  void aProxyWhoseParentIsAProxyAcceptsNoChildren() {
    DistributionNode node = new DistributionNode(DistributionSettings.defaults(),
        TreeMember.proxy("p1", "r", "s"), 3, LOG, APPLIES_ALL_BUT_BAD, 0);
    node.handle(0, new ParentsChanged(List.of(new Parent("p2", false), new Parent("c1", true))));
    assertEquals(List.of(new Refusal(LOG, 7)),
        sent(node.handle(10, new Received("p2", new Report(LOG, 7, 1, 0, List.of()))), "p2"));
  }

  @Test
  void theLeaderNamesMissingFencedAndRefusingProxies() {
    DistributionNode leader = leader(Set.of("p1", "p2", "p3", "p4"));
    leader.handle(10, new Committed(LOG, List.of(new ChangeEntry(1, EPOCH, new ChangeId("c1", 1),
        new ConfigurationChange(1, "bad")))));
    leader.handle(2_500, new Received("p1", new Report(LOG, 1L << 20, 1, 1,
        List.of(new MemberProgress("", 0, 1, 0), new MemberProgress("p2", 1, 1, 1),
            new MemberProgress("p3", 1, 0, 0)))));
    Completion completion = leader.tracker().completion(1, 2_500);
    assertEquals(new Completion(1, 4, 1, List.of("p2", "p3"), 2, List.of("p4"), 1, List.of("p2")),
        completion);
    assertFalse(completion.isDoneEverywhere());
    assertFalse(completion.isDoneOrFenced());
    assertEquals(0, leader.tracker().doneEverywhereUpTo());
  }

  /** A late report of an earlier process of a proxy does not count for the present process. */
  @Test
  void aLateReportOfAnEarlierProcessIsIgnored() {
    DistributionNode leader = leader(Set.of("p1"));
    leader.handle(10, new Committed(LOG, purges(1, 9)));
    leader.handle(20, new Received("c2", new Report(LOG, 1, 1, 9,
        List.of(new MemberProgress("p1", 2, 0, 0)))));
    leader.handle(30, new Received("c2", new Report(LOG, 1, 2, 9,
        List.of(new MemberProgress("p1", 1, 9, 0)))));
    assertEquals(0, leader.tracker().doneEverywhereUpTo());
  }
}
