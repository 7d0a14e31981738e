package org.heatherspread.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Duration;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class SupervisedTaskTest {
  private static final long MAX_WAIT_MILLIS = 10_000;

  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private final EventLoop loop = group.next();
  private final AtomicInteger starts = new AtomicInteger();
  private final AtomicBoolean failing = new AtomicBoolean(true);
  private final AtomicInteger handled = new AtomicInteger();

  @AfterEach
  void shutDown() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** A task that fails on each action while {@link #failing}. */
  private final class Work {
    private Work() {
      starts.incrementAndGet();
    }

    private void handle() {
      if (failing.get()) {
        throw new IllegalStateException("fails each time");
      }
      handled.incrementAndGet();
    }
  }

  private <T> SupervisedTask<T> start(Function<TaskContext, T> factory) {
    return loop.submit(() -> SupervisedTask.start(loop, new SplittableRandom(1), "test", factory))
        .syncUninterruptibly()
        .getNow();
  }

  private static void await(AtomicInteger count, int atLeast) throws InterruptedException {
    long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS);
    while (count.get() < atLeast && System.nanoTime() < deadline) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
    assertThat(count.get()).isGreaterThanOrEqualTo(atLeast);
  }

  /** It would occupy the event loop otherwise. */
  @Test
  void taskThatAlwaysFailsIsStartedAgainWithGrowingPauses() throws Exception {
    start(
        context -> {
          Work work = new Work();
          context.onCompletion(
              CompletableFuture.completedFuture("work"), (done, failure) -> work.handle());
          return work;
        });
    TimeUnit.MILLISECONDS.sleep(2_000);
    assertThat(starts.get()).isBetween(3, 6);
    failing.set(false);
    TimeUnit.MILLISECONDS.sleep(3_000);
    assertThat(handled.get()).isPositive();
  }

  /** A control plane whose task failed in its constructor would never read the store again. */
  @Test
  void taskThatFailsAtItsStartIsStartedAgain() throws Exception {
    start(
        context -> {
          Work work = new Work();
          work.handle();
          return work;
        });
    await(starts, 2);
    failing.set(false);
    await(handled, 1);
  }

  /** A stack overflow in a row of a table would end all reads of the table otherwise. */
  @Test
  void taskThatFailsWithAnErrorIsStartedAgain() throws Exception {
    SupervisedTask<Work> task = start(context -> new Work());
    task.tell(
        work -> {
          throw new StackOverflowError("in a row");
        });
    await(starts, 2);
  }

  /** A request for a report that comes during a pause would be lost otherwise. */
  @Test
  void actionsWaitForTheNextInstanceAfterFailure() throws Exception {
    SupervisedTask<Work> task = start(context -> new Work());
    task.tell(Work::handle);
    await(starts, 1);
    loop.submit(() -> failing.set(false)).syncUninterruptibly();
    task.tell(Work::handle);
    await(handled, 1);
    assertThat(starts.get()).isEqualTo(2);
  }

  /** Two reads of one table could be in progress at once otherwise. */
  @Test
  void timersAndResultsOfFailedInstancesHaveNoEffect() throws Exception {
    AtomicInteger late = new AtomicInteger();
    CompletableFuture<String> call = new CompletableFuture<>();
    SupervisedTask<Work> task =
        start(
            context -> {
              if (starts.get() == 0) {
                context.createTimer(late::incrementAndGet).start(Duration.ofMillis(20));
                context.onCompletion(call, (done, failure) -> late.incrementAndGet());
              }
              return new Work();
            });
    task.tell(Work::handle);
    await(starts, 2);
    call.complete("late");
    TimeUnit.MILLISECONDS.sleep(200);
    assertThat(late.get()).isZero();
  }

  /** Two timers of one event would double the rate of calls otherwise. */
  @Test
  void timerThatIsStartedAgainRunsOnce() throws Exception {
    AtomicInteger runs = new AtomicInteger();
    start(
        context -> {
          TaskContext.Timer timer = context.createTimer(runs::incrementAndGet);
          timer.start(Duration.ofMillis(20));
          timer.start(Duration.ofMillis(30));
          return new Work();
        });
    await(runs, 1);
    TimeUnit.MILLISECONDS.sleep(200);
    assertThat(runs.get()).isEqualTo(1);
  }
}
