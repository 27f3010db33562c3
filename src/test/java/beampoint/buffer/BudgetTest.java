package beampoint.buffer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** The limit of the memory budget, and which values are discarded at it. */
class BudgetTest {

  private static final int LIMIT_BYTES = 8000;

  private final Budget budget = new Budget(LIMIT_BYTES);
  private final List<String> discarded = new ArrayList<>();

  private Budget.Claim value(String name, int length) {
    return budget.claimValue(length, () -> discarded.add(name));
  }

  /** Guards against values that are almost complete and are discarded for others that have just begun. */
  @Test
  void theValueOfWhichMostIsMissingIsDiscarded() {
    Budget.Claim almostComplete = value("almost complete", 4000);
    Budget.Claim slow = value("slow", 4000);
    Budget.Claim half = value("half", 4000);
    assertTrue(almostComplete.add(3900));
    assertTrue(slow.add(1000));
    assertTrue(half.add(2000));
    assertTrue(half.add(1000));
    assertEquals(List.of("slow"), discarded);
    assertEquals(6900, budget.held());
    Budget.Claim late = value("late", 4000);
    assertFalse(late.add(1000), "it lacks most itself");
    assertEquals(List.of("slow"), discarded);
    assertEquals(6900, budget.held());
  }

  /** Guards against long values that leave no room for short ones. */
  @Test
  void completeLongValuesLeaveRoomForShorterOnes() {
    for (int i = 0; i < 10; i++) {
      value("long", 1000).add(1000);
    }
    assertEquals(7000, budget.held());
    for (int i = 0; i < 9; i++) {
      assertTrue(value("short", 100).add(100));
    }
    assertEquals(List.of(), discarded);
  }

  /** Guards against a short value that is refused while a long one is on its way. */
  @Test
  void aShortValueTakesThePlaceOfAnIncompleteLongOne() {
    value("complete", 5000).add(5000);
    assertTrue(value("long", 2500).add(2000));
    for (int i = 0; i < 20; i++) {
      assertTrue(value("short", 100).add(100));
    }
    assertEquals(List.of("long"), discarded);
    assertEquals(7000, budget.held());
  }

  @Test
  void valuesAndAnswersHaveHalfOfTheLimitWhateverTheOtherHolds() {
    Budget.Claim reply = budget.claimReply();
    assertTrue(reply.add(LIMIT_BYTES));
    for (int i = 0; i < 39; i++) {
      assertTrue(value("value", 100).add(100));
    }
    assertFalse(value("value", 100).add(100));
    reply.release();
    Budget.Claim long1 = value("long", LIMIT_BYTES);
    assertTrue(long1.add(3000));
    budget.holdAnswer(100);
    assertTrue(budget.claimReply().add(3900));
    assertFalse(budget.claimReply().add(100), "the budget is used up");
    assertTrue(budget.claimReceipt().add(100), "the receipt of a write is never discarded");
  }

  /** Whatever comes in whatever order, the sum stays within 1.5 times the limit, and is 0 in the end. */
  @Property(tries = 300)
  void theSumIsBounded(@ForAll long seed) {
    Random random = new Random(seed);
    List<Budget.Claim> claims = new ArrayList<>();
    List<Integer> missing = new ArrayList<>();
    for (int step = 0; step < 400; step++) {
      int index = random.nextInt(claims.size() + 1);
      if (index == claims.size()) {
        int length = 1 + random.nextInt(LIMIT_BYTES / 4);
        claims.add(random.nextBoolean() ? value("value", length) : budget.claimReply());
        missing.add(length);
      } else if (missing.get(index) > 0 && random.nextInt(4) > 0) {
        int count = 1 + random.nextInt(missing.get(index));
        missing.set(index, claims.get(index).add(count) ? missing.get(index) - count : 0);
      } else {
        claims.get(index).release();
        missing.set(index, 0);
      }
      assertTrue(budget.held() <= LIMIT_BYTES * 3 / 2, "held: " + budget.held());
    }
    claims.forEach(Budget.Claim::release);
    assertEquals(0, budget.held());
  }
}
