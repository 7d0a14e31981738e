package org.heatherspread.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Random;
import org.heatherspread.core.time.ManualClock;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Tests the retry budget sequentially and under all interleavings of two threads. */
public class RetryBudgetTest {
  private final ManualClock clock = ManualClock.create();
  private final RetryBudget shared =
      RetryBudget.create(new RetryBudgetSettings(0.5, 0, 2), ManualClock.create());

  /** Takes a retry. */
  @Operation
  public boolean tryRetry() {
    return shared.tryRetry(RetryReason.SILENT);
  }

  /** Counts a request. */
  @Operation
  public void onRequest() {
    shared.onRequest();
  }

  @Test
  void interleavingsAreLinearizable() {
    new ModelCheckingOptions()
        .threads(2)
        .actorsPerThread(3)
        .iterations(5)
        .invocationsPerIteration(100)
        .check(RetryBudgetTest.class);
  }

  @Test
  void retriesStayWithinShareOfRequests() {
    RetryBudget budget = RetryBudget.create(new RetryBudgetSettings(0.2, 0, 10), clock);
    int passed = 0;
    for (int i = 0; i < 1_000; i++) {
      budget.onRequest();
      passed += budget.tryRetry(RetryReason.CONNECTION_LOST) ? 1 : 0;
    }
    assertThat(passed).isBetween(200, 210);
  }

  @Test
  void timeEarnsRetriesUpToBurst() {
    RetryBudget budget = RetryBudget.create(new RetryBudgetSettings(0, 1, 2), clock);
    while (budget.tryRetry(RetryReason.SILENT)) {
      assertThat(budget.balance()).isGreaterThanOrEqualTo(0);
    }
    clock.advance(Duration.ofSeconds(1));
    assertThat(budget.tryRetry(RetryReason.SILENT)).isTrue();
    clock.advance(Duration.ofSeconds(60));
    assertThat(budget.balance()).isEqualTo(2);
  }

  @Test
  void backoffStaysWithinMaximum() {
    Backoff backoff = Backoff.defaults();
    Random random = new Random(7);
    for (int retry = 1; retry < 80; retry++) {
      assertThat(backoff.delayNanos(retry, random)).isBetween(0L, backoff.max().toNanos());
    }
  }
}
