package beampoint.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import beampoint.buffer.Budget;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Limits of the memory for unread answers: the sum over all connections, and the share of each. */
class AnswerLimitsTest {

  private static final int MEGABYTE = 1024 * 1024;
  private static final int VALUE_BYTES = 64 * 1024;

  private final Budget budget = new Budget(8 * MEGABYTE);
  private final AnswerLimits limits = new AnswerLimits(budget);

  private AnswerMemory connection() {
    return new AnswerMemory(limits);
  }

  /** Starts reads as long as allowed, and answers each with a value that the client does not read. */
  private static int fill(AnswerMemory connection) {
    int reads = 0;
    while (connection.mayStart()) {
      connection.readStarted();
      connection.readAnswered();
      connection.hold(VALUE_BYTES);
      reads++;
    }
    return reads;
  }

  @Test
  void aConnectionThatHoldsNothingMayAlwaysStartARead() {
    budget.holdAnswer(100 * MEGABYTE);
    AnswerMemory connection = connection();
    assertTrue(connection.mayStart());
    connection.readStarted();
    assertFalse(connection.mayStart());
  }

  /** Guards against one client that takes all memory: the next ones get a share too. */
  @Test
  void aSingleConnectionLeavesMostOfTheMemoryToOthers() {
    fill(connection());
    assertTrue(budget.free() > 4 * MEGABYTE, "free: " + budget.free());
    assertTrue(fill(connection()) > 10);
  }

  @Test
  void manyConnectionsThatReadNothingStayWithinTheLimit() {
    List<AnswerMemory> connections = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      connections.add(connection());
    }
    for (AnswerMemory connection : connections) {
      assertTrue(fill(connection) >= 1);
    }
    assertFalse(limits.mustRefuseReads());
    assertTrue(budget.held() <= 8 * MEGABYTE, "held: " + budget.held());
  }

  @Test
  void readsAreRefusedOnlyWhenAnswersFillTheMemory() {
    Budget.Claim value = budget.claimValue(9 * MEGABYTE, () -> {});
    value.add(9 * MEGABYTE);
    assertFalse(limits.mustRefuseReads(), "values of clients alone leave a part to reads");
    budget.holdAnswer(5 * MEGABYTE);
    assertTrue(limits.mustRefuseReads());
    value.release();
    assertFalse(limits.mustRefuseReads());
  }

  /** Small values allow as many reads at once as before there was a limit. */
  @Test
  void theExpectedLengthFollowsTheValuesReceived() {
    AnswerMemory connection = connection();
    for (int i = 0; i < 2000; i++) {
      limits.valueReceived(100);
    }
    for (int i = 0; i < 1000; i++) {
      assertTrue(connection.mayStart());
      connection.readStarted();
    }
    limits.valueReceived(VALUE_BYTES);
    assertFalse(connection.mayStart(), "a long value is expected again at once");
  }

  /** Whatever connections do, in whatever order, the account is what they hold, and 0 after their end. */
  @Property(tries = 200)
  void theAccountIsTheSumOfAllConnections(@ForAll long seed, @ForAll @IntRange(min = 1, max = 20) int count) {
    Random random = new Random(seed);
    List<AnswerMemory> connections = new ArrayList<>();
    long[] held = new long[count];
    for (int i = 0; i < count; i++) {
      connections.add(connection());
    }
    for (int step = 0; step < 500; step++) {
      int i = random.nextInt(count);
      if (random.nextBoolean() && connections.get(i).mayStart()) {
        int bytes = random.nextInt(VALUE_BYTES);
        connections.get(i).readStarted();
        connections.get(i).readAnswered();
        connections.get(i).hold(bytes);
        held[i] += bytes;
      } else {
        int bytes = (int) (held[i] * random.nextDouble());
        connections.get(i).release(bytes);
        held[i] -= bytes;
      }
      long sum = 0;
      for (long bytes : held) {
        sum += bytes;
      }
      assertEquals(sum, budget.held());
    }
    connections.forEach(AnswerMemory::close);
    connections.forEach(connection -> connection.release(1000)); // a write that ends after the close
    assertEquals(0, budget.held());
  }
}
