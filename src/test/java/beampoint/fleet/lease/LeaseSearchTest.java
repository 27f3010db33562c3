package beampoint.fleet.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.fleet.facts.Epoch;
import beampoint.fleet.lease.Lease.Outgoing;
import beampoint.fleet.lease.Lease.Step;
import beampoint.fleet.lease.LeaseEvent.Received;
import beampoint.fleet.lease.LeaseMessage.Promise;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Every run of three voters up to a depth, over the real step function: any message delivered late, repeated,
 * in any order or never, any voter crashed and started again without its memory, one that wants to act or
 * gives the lease back at any time, and clocks of two paces.
 */
class LeaseSearchTest {

  private static final List<String> NAMES = List.of("a", "b", "c");
  private static final int[] EVEN = {1, 1, 1};
  private static final int DEPTH = Integer.getInteger("lease.depth", 9); // a longer search names more

  /** A message on its way. */
  private record Flight(int from, Outgoing say) {}

  /**
   * All there is at one moment; lives count the starts of each voter. What was said stays: it may come at any
   * later time, again, or never.
   */
  private record World(int time, List<LeaseState> states, List<Integer> lives, Set<Flight> said, int wants,
      int crashes) {}

  /** A voter's step, and its start: the real ones, or ones with a mistake. */
  private interface Rules {

    default LeaseState start(LeaseSettings terms, double now) {
      return LeaseState.started(terms, now, Epoch.NONE);
    }

    default Step step(LeaseSettings terms, Lease lease, LeaseState state, double now, LeaseEvent event) {
      return lease.step(state, now, event);
    }
  }

  /** One walk over all worlds. */
  private static final class Search {

    private final int[] paces;
    private final LeaseSettings terms;
    private final Rules rules;
    private long worlds;

    /** Clocks of these paces; the stated drift is that of the fastest. */
    Search(int[] paces, Rules rules) {
      this.paces = paces;
      this.rules = rules;
      int fastest = Arrays.stream(paces).max().orElseThrow();
      this.terms = new LeaseSettings(new TreeSet<>(NAMES), 2 * fastest, 1 - 1.0 / fastest);
    }

    private double clock(int voter, int time) {
      return 100.0 * voter + paces[voter] * time; // no two show the same
    }

    private World begin() {
      List<LeaseState> all = new ArrayList<>();
      for (int i = 0; i < NAMES.size(); i++) {
        // Started long ago: all may promise.
        all.add(LeaseState.started(terms, clock(i, 0) - terms.length(), Epoch.NONE));
      }
      return new World(0, all, List.of(1, 1, 1), Set.of(), 3, 1);
    }

    private World happened(World w, int voter, LeaseEvent event, int wants) {
      Lease lease = new Lease(terms, NAMES.get(voter), w.lives.get(voter));
      Step step = rules.step(terms, lease, w.states.get(voter), clock(voter, w.time), event);
      List<LeaseState> next = new ArrayList<>(w.states);
      next.set(voter, step.state());
      Set<Flight> said = w.said;
      if (!step.messages().isEmpty()) {
        said = new HashSet<>(said);
        for (Outgoing say : step.messages()) {
          said.add(new Flight(voter, say));
        }
      }
      return new World(w.time, next, w.lives, said, wants, w.crashes);
    }

    private World crashed(World w, int voter) {
      List<LeaseState> restarted = new ArrayList<>(w.states);
      restarted.set(voter, rules.start(terms, clock(voter, w.time)));
      List<Integer> lives = new ArrayList<>(w.lives);
      lives.set(voter, lives.get(voter) + 1);
      return new World(w.time, restarted, lives, w.said, w.wants, w.crashes - 1);
    }

    private List<World> next(World w) {
      List<World> all = new ArrayList<>();
      all.add(new World(w.time + 1, w.states, w.lives, w.said, w.wants, w.crashes));
      for (int i = 0; i < NAMES.size(); i++) {
        if (w.wants > 0) {
          all.add(happened(w, i, new LeaseEvent.Acquire(), w.wants - 1));
        }
        if (w.states.get(i).isHolder(clock(i, w.time))) {
          all.add(happened(w, i, new LeaseEvent.Relinquish(), w.wants));
        }
        if (w.crashes > 0) {
          all.add(crashed(w, i));
        }
      }
      for (Flight flight : w.said) {
        LeaseEvent event = new Received(NAMES.get(flight.from), flight.say.message());
        all.add(happened(w, NAMES.indexOf(flight.say.to()), event, w.wants));
      }
      return all;
    }

    /** What is wrong in a world, or null. */
    private String wrong(World w) {
      int acting = -1;
      for (int i = 0; i < NAMES.size(); i++) {
        LeaseState state = w.states.get(i);
        if (!state.isHolder(clock(i, w.time))) {
          continue;
        }
        if (acting >= 0) {
          return NAMES.get(acting) + " and " + NAMES.get(i) + " may act at once";
        }
        acting = i;
        int bound = 0; // can promise nobody else now
        for (int v = 0; v < NAMES.size(); v++) {
          LeaseState voter = w.states.get(v);
          boolean own = voter.promised().equals(state.requested()) || voter.promised().equals(Epoch.NONE);
          bound += own && clock(v, w.time) < voter.promisedUntil() ? 1 : 0;
        }
        if (bound < terms.majority()) {
          return NAMES.get(i) + " may act by the promises of " + bound;
        }
        Epoch epoch = state.requested();
        if (!epoch.holder().equals(NAMES.get(i)) || epoch.life() != w.lives.get(i)) {
          return NAMES.get(i) + " acts under an epoch of another: " + epoch;
        }
      }
      return null;
    }

    /** Walks all worlds up to a depth; the first mistake, or null. */
    private String search(int depth) {
      Set<World> seen = new HashSet<>();
      List<World> level = List.of(begin());
      for (int i = 0; i <= depth; i++) {
        List<World> further = new ArrayList<>();
        for (World w : level) {
          String mistake = wrong(w);
          if (mistake != null) {
            return mistake + " at depth " + i + ": " + w;
          }
          for (World next : i < depth ? next(w) : List.<World>of()) {
            if (seen.add(next)) {
              further.add(next);
            }
          }
        }
        level = further;
      }
      worlds = seen.size();
      return null;
    }
  }

  @Test
  void noTwoMayActAndNoneWithoutAMajorityInAnyRun() {
    for (int[] paces : new int[][] {EVEN, {1, 2, 1}, {2, 1, 1}}) {
      Search search = new Search(paces, new Rules() {});
      assertNull(search.search(DEPTH));
      assertTrue(search.worlds > 50_000, "worlds: " + search.worlds);
    }
  }

  private static void assertFound(int[] paces, Rules mistaken) {
    String mistake = new Search(paces, mistaken).search(DEPTH);
    assertNotNull(mistake, "the search passed over a mistake");
  }

  @Test
  void theSearchFindsAHolderThatCountsFromTheAnswer() {
    assertFound(new int[] {1, 2, 1}, new Rules() {
      @Override
      public Step step(LeaseSettings terms, Lease lease, LeaseState state, double now, LeaseEvent event) {
        Step step = lease.step(state, now, event);
        boolean promised = event instanceof Received e && e.message() instanceof Promise
            && step.state().mayActUntil() > state.mayActUntil();
        LeaseState s = step.state();
        return !promised ? step : new Step(new LeaseState(s.fence(), s.known(), s.promised(),
            s.promisedUntil(), s.requested(), s.round(), s.askedAt(), s.promises(), now + terms.held()),
            step.messages());
      }
    });
  }

  @Test
  void theSearchFindsAVoterThatPromisesRightAfterItsStart() {
    assertFound(new int[] {1, 1, 1}, new Rules() {
      @Override
      public LeaseState start(LeaseSettings terms, double now) {
        return LeaseState.started(terms, now - terms.length(), Epoch.NONE);
      }
    });
  }

  @Test
  void theSearchFindsAVoterThatPromisesTwice() {
    assertFound(new int[] {1, 1, 1}, new Rules() {
      @Override
      public Step step(LeaseSettings terms, Lease lease, LeaseState s, double now, LeaseEvent event) {
        LeaseState free = new LeaseState(s.fence(), s.known(), s.promised(), 0, s.requested(), s.round(),
            s.askedAt(), s.promises(), s.mayActUntil());
        return lease.step(free, now, event);
      }
    });
  }

  @Test
  void aLeaseIsHeldRenewedAndGivenBack() {
    LeaseSettings terms = new LeaseSettings(new TreeSet<>(NAMES), 4, 0.5);
    Lease a = new Lease(terms, "a", 1);
    Lease b = new Lease(terms, "b", 1);
    LeaseState stateA = LeaseState.started(terms, 0, Epoch.NONE);
    assertEquals(List.of(), a.step(stateA, 3, new LeaseEvent.Acquire()).messages(), "too soon after its start");
    Step asked = a.step(stateA, 4, new LeaseEvent.Acquire());
    Step answered = b.step(LeaseState.started(terms, 0, Epoch.NONE), 5,
        new Received("a", asked.messages().get(0).message()));
    Step held = a.step(asked.state(), 5, new Received("b", answered.messages().get(0).message()));
    assertTrue(held.state().isHolder(5) && !held.state().isHolder(4 + terms.held()));
    assertTrue(b.step(answered.state(), 6, new LeaseEvent.Acquire()).messages().isEmpty(), "b leaves it to a");
    Step renewed = a.step(held.state(), 5.5, new LeaseEvent.Acquire());
    assertEquals(held.state().requested(), renewed.state().requested());
    assertTrue(renewed.state().isHolder(5.5));
    Step back = a.step(renewed.state(), 5.6, new LeaseEvent.Relinquish());
    Step freed = b.step(answered.state(), 6, new Received("a", back.messages().get(0).message()));
    assertEquals(2, b.step(freed.state(), 6, new LeaseEvent.Acquire()).messages().size());
    Step passed = a.step(held.state(), 5, new LeaseEvent.EpochObserved(new Epoch(9, "c", 1)));
    assertTrue(!passed.state().isHolder(5));
    assertEquals(10, a.step(passed.state(), 9, new LeaseEvent.Acquire()).state().requested().number());
  }
}
