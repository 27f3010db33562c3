package beampoint.buffer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.glassfish.grizzly.Buffer;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.HeapMemoryManager;
import org.junit.jupiter.api.Test;

/** Streams of long values: windows, pauses and ends; and the claims of a budget. */
class StreamTest {

  private final List<String> calls = new ArrayList<>();
  private final Budget budget = new Budget(1024 * 1024);
  private int bytes;

  private final Stream.Sink sink = new Stream.Sink() {
    @Override
    public void bytes(Buffer part) {
      bytes += part.remaining();
    }

    @Override
    public void complete() {
      calls.add("whole");
    }

    @Override
    public void failed() {
      calls.add("broken");
    }
  };

  private Stream stream() {
    return new Stream(4 << 20, budget, new Stream.Source() {
      @Override
      public void resume() {
        calls.add("resume");
      }

      @Override
      public void cancel() {
        calls.add("cancel");
      }
    });
  }

  private static Buffer part(int size) {
    return Buffers.wrap(new HeapMemoryManager(), new byte[size]);
  }

  @Test
  void sourceIsPausedAtAFullWindowAndResumedOnceHalfIsFree() {
    Stream stream = stream();
    stream.attach(sink);
    int offered = 1000;
    while (stream.offer(part(1000))) {
      offered += 1000;
    }
    assertTrue(offered > 100_000 && offered < 200_000, "window: " + offered);
    stream.written(1000);
    assertEquals(List.of(), calls);
    stream.written(offered / 2);
    assertEquals(List.of("resume"), calls);
  }

  /** Many slow readers together must not make the process hold more than the budget. */
  @Test
  void manyStreamsShareTheBudget() {
    long held = 0;
    List<Stream> streams = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      streams.add(stream());
    }
    for (Stream stream : streams) {
      held += 1000;
      while (stream.offer(part(1000))) {
        held += 1000;
      }
    }
    assertTrue(held < 2 * 1024 * 1024, "held: " + held);
    streams.forEach(Stream::cancel);
    assertEquals(0, budget.streams());
  }

  @Test
  void bytesBeforeTheSinkArePassedFirstAndTheEndIsReportedOnce() {
    Stream stream = stream();
    stream.offer(part(10));
    stream.finish();
    assertEquals(List.of(), calls);
    stream.attach(sink);
    assertEquals(10, bytes);
    stream.cancel();
    stream.fail();
    assertEquals(List.of("whole"), calls);
    assertEquals(0, budget.streams());
  }

  @Test
  void failedOrCancelledStreamEndsOnce() {
    Stream failed = stream();
    failed.attach(sink);
    failed.fail();
    failed.cancel();
    Stream cancelled = stream();
    cancelled.cancel();
    cancelled.cancel();
    cancelled.finish();
    cancelled.attach(sink);
    assertEquals(List.of("broken", "cancel"), calls);
    assertEquals(0, budget.streams());
  }

  /** Guards against the begin of an answer that is known to be incomplete, and against memory held for it. */
  @Test
  void aStreamThatFailsBeforeItHasASinkPassesNothingOnAndHoldsNothing() {
    Stream stream = stream();
    stream.offer(part(10));
    assertFalse(stream.hasFailedUnattached());
    stream.fail();
    assertTrue(stream.hasFailedUnattached());
    assertEquals(0, budget.held());
    assertEquals(0, budget.streams());
    stream.cancel();
    assertEquals(List.of(), calls, "the source has ended by itself");
  }

  /** Received bytes are counted once, until they are released, and none of a message without room. */
  @Test
  void claimCountsReceivedBytes() {
    Budget.Claim claim = budget.claimValue(4 << 20, () -> calls.add("discard"));
    assertEquals(0, budget.held());
    assertTrue(claim.add(2 << 20), "the only value has room, however small the limit is");
    assertEquals(2 << 20, budget.held());
    Budget.Claim next = budget.claimValue(4 << 20, () -> calls.add("discard"));
    assertFalse(next.add(10));
    assertEquals(2 << 20, budget.held());
    claim.release();
    claim.release();
    assertEquals(0, budget.held());
    assertTrue(next.add(10));
    assertEquals(10, budget.held());
    assertEquals(List.of(), calls);
  }
}
