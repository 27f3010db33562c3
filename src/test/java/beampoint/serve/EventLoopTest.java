package beampoint.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Future;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;
import org.glassfish.grizzly.nio.transport.TCPNIOTransportBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tasks and timers on the selector's thread. */
@Timeout(30)
class EventLoopTest {

  private final EventLoop loop = new EventLoop();
  private final TCPNIOTransport transport = TCPNIOTransportBuilder.newInstance().setSelectorRunnersCount(1)
      .setSelectorHandler(loop.selectorHandler()).build();
  private final LinkedBlockingQueue<Object> done = new LinkedBlockingQueue<>();

  @BeforeEach
  void start() throws Exception {
    transport.start();
  }

  @AfterEach
  void stop() throws Exception {
    transport.shutdownNow();
    loop.shutdownNow();
  }

  private Object next() throws InterruptedException {
    Object next = done.poll(5, TimeUnit.SECONDS);
    assertTrue(next != null, "no task ran within 5 s");
    return next;
  }

  /** Guards against a thread that stays in its selector while other threads queue tasks. */
  @Test
  void tasksOfOtherThreadsRunInOrderOnOneThread() throws Exception {
    for (int i = 0; i < 100; i++) {
      int number = i;
      loop.execute(() -> done.add(number));
      assertEquals(number, next());
    }
    loop.execute(() -> done.add(Thread.currentThread()));
    Object thread = next();
    loop.schedule(() -> done.add(Thread.currentThread()), 1, TimeUnit.MILLISECONDS);
    assertSame(thread, next());
  }

  @Test
  void timersRunInTheOrderOfTheirDueTimesAndThenOfCreation() throws Exception {
    loop.execute(() -> {
      for (int delay : new int[] {30, 10, 20, 10}) {
        loop.schedule(() -> done.add(delay), delay, TimeUnit.MILLISECONDS);
      }
      loop.execute(() -> done.add(0));
    });
    List<Object> ran = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      ran.add(next());
    }
    assertEquals(List.of(0, 10, 10, 20, 30), ran);
  }

  /** Guards against cancelled timers that stay in the queue: each request and each attempt sets one. */
  @Test
  void cancelledTimersNeitherRunNorStayInTheQueue() throws Exception {
    List<Future<?>> cancelled = new ArrayList<>();
    loop.execute(() -> {
      for (int i = 0; i < 5000; i++) {
        cancelled.add(loop.schedule(() -> done.add("cancelled"), 50, TimeUnit.MILLISECONDS));
      }
      cancelled.forEach(timer -> timer.cancel(false));
      done.add(loop.timerCount());
    });
    assertTrue((int) next() <= 1000, "most of the cancelled timers are removed");
    loop.schedule(() -> done.add("last"), 60, TimeUnit.MILLISECONDS);
    assertEquals("last", next());
  }

  /** Guards against an exception in a task or timer that ends the thread or stops periodic timers. */
  @Test
  void anExceptionInATaskAffectsNoOther() throws Exception {
    loop.execute(() -> {
      throw new IllegalStateException("thrown by the test");
    });
    loop.schedule(() -> {
      throw new IllegalStateException("thrown by the test");
    }, 1, TimeUnit.MILLISECONDS);
    CountDownLatch threeRuns = new CountDownLatch(3);
    loop.scheduleWithFixedDelay(threeRuns::countDown, 1, 1, TimeUnit.MILLISECONDS);
    assertTrue(threeRuns.await(5, TimeUnit.SECONDS));
  }
}
