package beampoint.soak;

import beampoint.soak.Violation.Check;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * What the peers, clients and processes of one run share.
 *
 * @param violations the violations recorded so far
 * @param terminating true since a SIGTERM until the next start of all processes
 * @param injected the check that a fault injected by the harness has to violate; null for no fault
 */
record RunContext(RequestRegistry requests, RunClock clock, Queue<Violation> violations,
    AtomicBoolean terminating, Check injected) {

  static RunContext injecting(Check injected) {
    return new RunContext(new RequestRegistry(), new RunClock(), new ConcurrentLinkedQueue<>(),
        new AtomicBoolean(),
        injected);
  }

  boolean injects(Check check) {
    return injected == check;
  }
}
