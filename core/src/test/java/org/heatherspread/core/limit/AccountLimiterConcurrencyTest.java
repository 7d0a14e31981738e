package org.heatherspread.core.limit;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;

/** Checks with Lincheck that the limiter is linearizable. */
public class AccountLimiterConcurrencyTest {
  private final AccountLimiter limiter =
      AccountLimiter.create(1, new ResourceAmounts(3, 1_000, 2), 0);

  /** Requests admission at time zero. */
  @Operation
  public boolean admit() {
    return limiter.admit(1, 0).admitted();
  }

  /** Ends a request; returns false if none was in progress. */
  @Operation
  public boolean release() {
    try {
      limiter.release(1, 0);
      return true;
    } catch (IllegalStateException e) {
      return false;
    }
  }

  /** Returns the number of requests in progress. */
  @Operation
  public int inProgress() {
    return limiter.inProgress();
  }

  @Test
  void limiterIsLinearizable() {
    new ModelCheckingOptions()
        .iterations(20)
        .threads(2)
        .actorsPerThread(3)
        .invocationsPerIteration(300)
        .check(AccountLimiterConcurrencyTest.class);
  }
}
