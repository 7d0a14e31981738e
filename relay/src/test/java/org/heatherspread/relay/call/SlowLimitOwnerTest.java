package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.core.limit.LimitOwnerClient.Decision;
import org.heatherspread.core.limit.LimitRequest;
import org.heatherspread.core.limit.OvershootAllowance;
import org.heatherspread.core.limit.PartitionedLimiter;
import org.heatherspread.core.serving.AccountConfig;
import org.heatherspread.core.time.MonotonicClock;
import org.heatherspread.relay.FixedOwnerClient;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Requests of an account whose limit is owned by another daemon, which answers late. */
class SlowLimitOwnerTest {
  private static final AccountConfig ACCOUNT =
      new AccountConfig("acme", Set.of("k"), -1, true, 200, 100_000, 100_000);
  private static final LimitRequest SMALL = LimitRequest.of(500);
  private static final LimitRequest LARGE = LimitRequest.of(60_000);

  private long nowNanos = 1_000_000_000L;
  private final MonotonicClock clock = () -> nowNanos;
  private final PartitionedLimiter limits =
      PartitionedLimiter.create("self", clock, new OvershootAllowance(8, 0.1, 20_000));
  private final List<String> asked = new ArrayList<>();
  private final List<CompletableFuture<Decision>> replies = new ArrayList<>();
  private final List<Runnable> delayed = new ArrayList<>();
  private final LimitAdmission admission =
      LimitAdmission.create(
          limits,
          new FixedOwnerClient(
              request -> {
                asked.add((long) request.amount() + " " + (long) request.unreported());
                CompletableFuture<Decision> reply = new CompletableFuture<>();
                replies.add(reply);
                return reply;
              }),
          LimitRefusalLog.none(),
          (millis, action) -> delayed.add(action));

  @BeforeEach
  void assignOwner() {
    List<String> daemons = List.of("owner", "self");
    admission.updateDaemons(List.of("owner"), daemons, 600_000, List.of(ACCOUNT));
  }

  /** After a restart of all daemons, each request waited for an owner that was overloaded. */
  @Test
  void smallRequestsAreNotHeldUpByTheOwner() {
    CompletableFuture<LimitAdmission.Decision> decision = admission.admit(ACCOUNT, SMALL);
    assertThat(decision).isCompletedWithValueMatching(each -> each.waitSeconds().isEmpty());
    assertThat(asked).isEmpty();
    assertThat(admission.admit(ACCOUNT, LARGE)).isNotDone();
    assertThat(asked).containsExactly("60000 500");
  }

  @Test
  void reportsWhatWasAdmittedInAdvanceInOneCall() {
    admission.admit(ACCOUNT, SMALL);
    admission.admit(ACCOUNT, SMALL);
    assertThat(delayed).hasSize(1);
    delayed.get(0).run();
    assertThat(asked).containsExactly("0 1000");
  }

  @Test
  void asksTheOwnerOnceItSaysThatLittleIsLeft() {
    admission.admit(ACCOUNT, SMALL);
    delayed.get(0).run();
    replies.get(0).complete(Decision.decided(OptionalDouble.empty()));
    assertThat(admission.admit(ACCOUNT, SMALL)).isNotDone();
    replies
        .get(1)
        .complete(new Decision(true, OptionalDouble.empty(), false, Optional.empty(), true));
    assertThat(admission.admit(ACCOUNT, SMALL)).isDone();
    assertThat(asked).containsExactly("0 500", "500 0");
  }

  @Test
  void reportsAgainWhatTheOwnerDidNotCharge() {
    admission.admit(ACCOUNT, SMALL);
    delayed.get(0).run();
    replies.get(0).completeExceptionally(new IOException("no response in time"));
    nowNanos += 600_000_000L;
    admission.admit(ACCOUNT, LARGE);
    assertThat(asked).containsExactly("0 500", "60000 500");
  }

  @Test
  void sendsNoFurtherReportsToAnOwnerThatDoesNotAnswer() {
    admission.admit(ACCOUNT, SMALL);
    delayed.get(0).run();
    replies.get(0).completeExceptionally(new IOException("no response in time"));
    admission.admit(ACCOUNT, SMALL);
    delayed.forEach(Runnable::run);
    assertThat(asked).containsExactly("0 500");
  }

  @Test
  void ownerChargesReportsWithoutDeciding() {
    admission.updateDaemons(List.of("self"), List.of("self"), 600_000, List.of(ACCOUNT));
    Decision reply = admission.decideAsOwner(ACCOUNT, LimitRequest.of(0), 1_000);
    assertThat(reply.decidedByOwner()).isTrue();
    assertThat(reply.waitSeconds()).isEmpty();
    assertThat(reply.ample()).isFalse();
    assertThat(admission.decideAsOwner(ACCOUNT, SMALL, 0).waitSeconds()).isPresent();
  }
}
