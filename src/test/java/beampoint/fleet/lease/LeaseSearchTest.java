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
 * Model checking of the lease: explores every run of three voters up to a depth with the real step function.
 * In a run, messages may be delivered late, repeatedly, in any order or never, a voter may restart without
 * its state, any voter may request or release the lease at any time, and clocks may run at two rates.
 */
class LeaseSearchTest {

  private static final List<String> NAMES = List.of("a", "b", "c");
  private static final int[] EVEN = {1, 1, 1};
  private static final int DEPTH = Integer.getInteger("lease.depth", 9); // higher for a longer search

  /** A message that was sent by a voter. */
  private record SentMessage(int from, Outgoing outgoing) {}

  /**
   * The state of the whole system. Sent messages are kept, because they may be delivered at any later time,
   * repeatedly, or never.
   *
   * @param lives the number of starts of each voter
   * @param acquisitions the number of requests that may still be made
   * @param crashes the number of crashes that may still occur
   */
  private record SystemState(int time, List<LeaseState> states, List<Integer> lives, Set<SentMessage> sent,
      int acquisitions, int crashes) {}

  /** The start and the step function of a voter: the real ones, or variants with a fault. */
  private interface Rules {

    default LeaseState start(LeaseSettings settings, double now) {
      return LeaseState.started(settings, now, Epoch.NONE);
    }

    default Step step(LeaseSettings settings, Lease lease, LeaseState state, double now, LeaseEvent event) {
      return lease.step(state, now, event);
    }
  }

  /** A breadth-first search over all states of the system. */
  private static final class Search {

    private final int[] rates;
    private final LeaseSettings settings;
    private final Rules rules;
    private long stateCount;

    /** Creates a search with the given clock rates; the configured drift covers the fastest clock. */
    Search(int[] rates, Rules rules) {
      this.rates = rates;
      this.rules = rules;
      int fastest = Arrays.stream(rates).max().orElseThrow();
      this.settings = new LeaseSettings(new TreeSet<>(NAMES), 2 * fastest, 1 - 1.0 / fastest);
    }

    private double clock(int voter, int time) {
      return 100.0 * voter + rates[voter] * time; // a different offset for each voter
    }

    private SystemState initial() {
      List<LeaseState> all = new ArrayList<>();
      for (int i = 0; i < NAMES.size(); i++) {
        // Started more than one lease ago, so that all voters may promise.
        all.add(LeaseState.started(settings, clock(i, 0) - settings.length(), Epoch.NONE));
      }
      return new SystemState(0, all, List.of(1, 1, 1), Set.of(), 3, 1);
    }

    private SystemState after(SystemState system, int voter, LeaseEvent event, int acquisitions) {
      Lease lease = new Lease(settings, NAMES.get(voter), system.lives.get(voter));
      Step step = rules.step(settings, lease, system.states.get(voter), clock(voter, system.time), event);
      List<LeaseState> next = new ArrayList<>(system.states);
      next.set(voter, step.state());
      Set<SentMessage> sent = system.sent;
      if (!step.messages().isEmpty()) {
        sent = new HashSet<>(sent);
        for (Outgoing outgoing : step.messages()) {
          sent.add(new SentMessage(voter, outgoing));
        }
      }
      return new SystemState(system.time, next, system.lives, sent, acquisitions, system.crashes);
    }

    private SystemState afterRestart(SystemState system, int voter) {
      List<LeaseState> restarted = new ArrayList<>(system.states);
      restarted.set(voter, rules.start(settings, clock(voter, system.time)));
      List<Integer> lives = new ArrayList<>(system.lives);
      lives.set(voter, lives.get(voter) + 1);
      return new SystemState(system.time, restarted, lives, system.sent, system.acquisitions,
          system.crashes - 1);
    }

    private List<SystemState> next(SystemState system) {
      List<SystemState> all = new ArrayList<>();
      all.add(new SystemState(system.time + 1, system.states, system.lives, system.sent, system.acquisitions,
          system.crashes));
      for (int i = 0; i < NAMES.size(); i++) {
        if (system.acquisitions > 0) {
          all.add(after(system, i, new LeaseEvent.Acquire(), system.acquisitions - 1));
        }
        if (system.states.get(i).isHolder(clock(i, system.time))) {
          all.add(after(system, i, new LeaseEvent.Relinquish(), system.acquisitions));
        }
        if (system.crashes > 0) {
          all.add(afterRestart(system, i));
        }
      }
      for (SentMessage sent : system.sent) {
        LeaseEvent event = new Received(NAMES.get(sent.from), sent.outgoing.message());
        all.add(after(system, NAMES.indexOf(sent.outgoing.to()), event, system.acquisitions));
      }
      return all;
    }

    /** Describes the violation of an invariant in a state; null if there is none. */
    private String violation(SystemState system) {
      int holder = -1;
      for (int i = 0; i < NAMES.size(); i++) {
        LeaseState state = system.states.get(i);
        if (!state.isHolder(clock(i, system.time))) {
          continue;
        }
        if (holder >= 0) {
          return NAMES.get(holder) + " and " + NAMES.get(i) + " hold the lease at once";
        }
        holder = i;
        int unavailableVoters = 0; // voters that cannot promise another epoch now
        for (int v = 0; v < NAMES.size(); v++) {
          LeaseState voter = system.states.get(v);
          boolean promisesNoOther =
              voter.promised().equals(state.requested()) || voter.promised().equals(Epoch.NONE);
          unavailableVoters += promisesNoOther && clock(v, system.time) < voter.promisedUntil() ? 1 : 0;
        }
        if (unavailableVoters < settings.majority()) {
          return NAMES.get(i) + " holds the lease with the promises of " + unavailableVoters;
        }
        Epoch epoch = state.requested();
        if (!epoch.holder().equals(NAMES.get(i)) || epoch.life() != system.lives.get(i)) {
          return NAMES.get(i) + " holds the lease under the epoch of another process: " + epoch;
        }
      }
      return null;
    }

    /** Searches all states up to a depth; returns the first violation, or null. */
    private String search(int depth) {
      Set<SystemState> seen = new HashSet<>();
      List<SystemState> level = List.of(initial());
      for (int i = 0; i <= depth; i++) {
        List<SystemState> further = new ArrayList<>();
        for (SystemState system : level) {
          String violation = violation(system);
          if (violation != null) {
            return violation + " at depth " + i + ": " + system;
          }
          for (SystemState next : i < depth ? next(system) : List.<SystemState>of()) {
            if (seen.add(next)) {
              further.add(next);
            }
          }
        }
        level = further;
      }
      stateCount = seen.size();
      return null;
    }
  }

  @Test
  void atMostOneVoterHoldsTheLeaseAndOnlyWithAMajorityInEveryRun() {
    for (int[] rates : new int[][] {EVEN, {1, 2, 1}, {2, 1, 1}}) {
      Search search = new Search(rates, new Rules() {});
      assertNull(search.search(DEPTH));
      assertTrue(search.stateCount > 50_000, "states: " + search.stateCount);
    }
  }

  private static void assertFound(int[] rates, Rules faulty) {
    String violation = new Search(rates, faulty).search(DEPTH);
    assertNotNull(violation, "the search did not find the fault");
  }

  @Test
  void theSearchFindsAHolderThatMeasuresTheLeaseFromTheAnswer() {
    assertFound(new int[] {1, 2, 1}, new Rules() {
      @Override
      public Step step(LeaseSettings settings, Lease lease, LeaseState state, double now, LeaseEvent event) {
        Step step = lease.step(state, now, event);
        boolean promised = event instanceof Received e && e.message() instanceof Promise
            && step.state().heldUntil() > state.heldUntil();
        LeaseState s = step.state();
        return !promised ? step : new Step(new LeaseState(s.fence(), s.highestKnown(), s.promised(),
            s.promisedUntil(), s.requested(), s.round(), s.requestedAt(), s.promises(),
            now + settings.holdTime()), step.messages());
      }
    });
  }

  @Test
  void theSearchFindsAVoterThatPromisesDirectlyAfterItsStart() {
    assertFound(new int[] {1, 1, 1}, new Rules() {
      @Override
      public LeaseState start(LeaseSettings settings, double now) {
        return LeaseState.started(settings, now - settings.length(), Epoch.NONE);
      }
    });
  }

  @Test
  void theSearchFindsAVoterThatPromisesTwice() {
    assertFound(new int[] {1, 1, 1}, new Rules() {
      @Override
      public Step step(LeaseSettings settings, Lease lease, LeaseState s, double now, LeaseEvent event) {
        LeaseState free = new LeaseState(s.fence(), s.highestKnown(), s.promised(), 0, s.requested(),
            s.round(), s.requestedAt(), s.promises(), s.heldUntil());
        return lease.step(free, now, event);
      }
    });
  }

  @Test
  void aLeaseIsAcquiredRenewedAndReleased() {
    LeaseSettings settings = new LeaseSettings(new TreeSet<>(NAMES), 4, 0.5);
    Lease a = new Lease(settings, "a", 1);
    Lease b = new Lease(settings, "b", 1);
    LeaseState stateA = LeaseState.started(settings, 0, Epoch.NONE);
    assertEquals(List.of(), a.step(stateA, 3, new LeaseEvent.Acquire()).messages(),
        "less than one lease after the start");
    Step requested = a.step(stateA, 4, new LeaseEvent.Acquire());
    Step granted = b.step(LeaseState.started(settings, 0, Epoch.NONE), 5,
        new Received("a", requested.messages().get(0).message()));
    Step held = a.step(requested.state(), 5, new Received("b", granted.messages().get(0).message()));
    assertTrue(held.state().isHolder(5) && !held.state().isHolder(4 + settings.holdTime()));
    assertTrue(b.step(granted.state(), 6, new LeaseEvent.Acquire()).messages().isEmpty(), "b has promised a");
    Step renewed = a.step(held.state(), 5.5, new LeaseEvent.Acquire());
    assertEquals(held.state().requested(), renewed.state().requested());
    assertTrue(renewed.state().isHolder(5.5));
    Step released = a.step(renewed.state(), 5.6, new LeaseEvent.Relinquish());
    Step available = b.step(granted.state(), 6, new Received("a", released.messages().get(0).message()));
    assertEquals(2, b.step(available.state(), 6, new LeaseEvent.Acquire()).messages().size());
    Step superseded = a.step(held.state(), 5, new LeaseEvent.EpochObserved(new Epoch(9, "c", 1)));
    assertTrue(!superseded.state().isHolder(5));
    assertEquals(10, a.step(superseded.state(), 9, new LeaseEvent.Acquire()).state().requested().number());
  }
}
