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

/** Long values on their way: windows, pauses and ends. */
class StreamTest {

  private final List<String> told = new ArrayList<>();
  private final Budget budget = new Budget(1024 * 1024);
  private int bytes;

  private final Stream.Sink sink = new Stream.Sink() {
    @Override
    public void bytes(Buffer part) {
      bytes += part.remaining();
    }

    @Override
    public void complete() {
      told.add("whole");
    }

    @Override
    public void failed() {
      told.add("broken");
    }
  };

  private Stream stream() {
    return new Stream(4 << 20, budget, new Stream.Source() {
      @Override
      public void resume() {
        told.add("resume");
      }

      @Override
      public void cancel() {
        told.add("cancel");
      }
    });
  }

  private static Buffer part(int size) {
    return Buffers.wrap(new HeapMemoryManager(), new byte[size]);
  }

  @Test
  void aSourceIsPausedWhenTheWindowIsFullAndGoesOnOnceHalfIsFree() {
    Stream stream = stream();
    stream.attach(sink);
    int offered = 1000;
    while (stream.offer(part(1000))) {
      offered += 1000;
    }
    assertTrue(offered > 100_000 && offered < 200_000, "window: " + offered);
    stream.written(1000);
    assertEquals(List.of(), told);
    stream.written(offered / 2);
    assertEquals(List.of("resume"), told);
  }

  /** Guards against slow readers that together hold more than the process may. */
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
  void whatCameBeforeTheSinkGoesFirstAndTheEndIsToldOnce() {
    Stream stream = stream();
    stream.offer(part(10));
    stream.finish();
    assertEquals(List.of(), told);
    stream.attach(sink);
    assertEquals(10, bytes);
    stream.cancel();
    stream.fail();
    assertEquals(List.of("whole"), told);
    assertEquals(0, budget.streams());
  }

  @Test
  void aStreamThatBreaksOrIsGivenUpEndsOnce() {
    Stream broken = stream();
    broken.attach(sink);
    broken.fail();
    broken.cancel();
    Stream left = stream();
    left.cancel();
    left.cancel();
    left.finish();
    left.attach(sink);
    assertEquals(List.of("broken", "cancel"), told);
    assertEquals(0, budget.streams());
  }

  /** A claim alone costs nothing; what has come is counted, once, until it is released. */
  @Test
  void aClaimCountsWhatHasCome() {
    Budget.Claim claim = budget.claim(() -> told.add("resume"));
    assertEquals(0, budget.held());
    assertTrue(claim.add(2 << 20), "the first is never held up");
    Budget.Claim next = budget.claim(() -> told.add("next"));
    assertFalse(next.add(10));
    claim.release();
    claim.release();
    assertEquals(List.of("next"), told);
    assertEquals(10, budget.held());
  }
}
