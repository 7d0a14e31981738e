package org.heatherspread.node.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.time.Clock;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.heatherspread.core.duty.DutyClient;
import org.heatherspread.core.lease.LeaseClient;
import org.heatherspread.core.lease.LeaseSettings;
import org.heatherspread.core.store.InMemoryTableStore;
import org.heatherspread.core.time.MonotonicClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class DutyRunnerTest {
  private static final long MAX_WAIT_MILLIS = 10_000;
  private static final long POLL_INTERVAL_MILLIS = 10;

  private final AtomicInteger writeIds = new AtomicInteger();
  private final List<String> events = new CopyOnWriteArrayList<>();
  private final MonotonicClock clock = MonotonicClock.system();
  private final InMemoryTableStore store = InMemoryTableStore.create();
  private final LeaseClient lease = lease("d1");
  private final EventLoopGroup group = new NioEventLoopGroup(1);
  private SupervisedTask<DutyRunner> runner;

  /**
   * Records when the calls are given up, and whether the lease is free for the next holder then.
   */
  private final DutyClient dutyClient =
      new DutyClient() {
        @Override
        public CompletableFuture<Outcome> reportUsage(
            String holder, long fencing, long window, Map<String, Integer> counts) {
          throw new UnsupportedOperationException();
        }

        @Override
        public CompletableFuture<Outcome> order(String holder, long fencing, EndpointOrder order) {
          throw new UnsupportedOperationException();
        }

        @Override
        public void abortCalls() {
          LeaseClient next = lease("d2");
          next.step(0).join();
          events.add(next.fencingToken().isPresent() ? "aborted late" : "aborted");
        }
      };

  private final DutyRunner.Duty duty =
      new DutyRunner.Duty() {
        @Override
        public void perform(long fencing) {
          events.add("performed");
        }

        @Override
        public void onLeaseLost() {
          events.add("lost");
        }
      };

  private LeaseClient lease(String daemon) {
    return LeaseClient.create(
        "duties",
        daemon,
        LeaseSettings.defaults(),
        store,
        clock,
        () -> "w" + writeIds.incrementAndGet());
  }

  @BeforeEach
  void acquireLease() throws InterruptedException {
    DutyRunner.CandidateRank rank =
        new DutyRunner.CandidateRank() {
          @Override
          public int rank() {
            return 0;
          }

          @Override
          public int daemonCount() {
            return 2;
          }
        };
    PauseDetector pauseDetector = new PauseDetector(clock, Clock.systemUTC());
    EventLoop loop = group.next();
    runner =
        loop.submit(
                () ->
                    SupervisedTask.start(
                        loop,
                        new SplittableRandom(1),
                        "test",
                        context ->
                            DutyRunner.start(
                                context,
                                lease,
                                dutyClient::abortCalls,
                                rank,
                                List.of(duty),
                                pauseDetector)))
            .syncUninterruptibly()
            .getNow();
    await("performed");
    assertThat(events).doesNotContain("aborted", "lost");
  }

  @AfterEach
  void terminate() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private void await(String event) throws InterruptedException {
    long deadlineMillis = clock.millis() + MAX_WAIT_MILLIS;
    while (!events.contains(event) && clock.millis() < deadlineMillis) {
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    }
    assertThat(events).contains(event);
  }

  @Test
  void callsInProgressAreGivenUpWhenTheLeaseIsLost() throws Exception {
    lease.invalidate();
    await("lost");
    assertThat(events).containsSubsequence("performed", "aborted", "lost");
  }

  @Test
  void callsInProgressAreGivenUpBeforeTheLeaseIsReleased() throws Exception {
    runner.tell(DutyRunner::stop);
    await("lost");
    assertThat(events).containsSubsequence("performed", "aborted", "lost");
    LeaseClient next = lease("d2");
    long deadlineMillis = clock.millis() + MAX_WAIT_MILLIS;
    while (next.fencingToken().isEmpty() && clock.millis() < deadlineMillis) {
      next.step(0).join();
      TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS);
    }
    assertThat(next.fencingToken()).isPresent();
  }
}
