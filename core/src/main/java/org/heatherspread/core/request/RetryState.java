package org.heatherspread.core.request;

import java.util.random.RandomGenerator;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Tracks the retries of one request: number of attempts, charges to the retry budget of the
 * service, backoff delays, and the time limit for finding another endpoint.
 *
 * <p>Not thread-safe; owned by one {@link RequestStateMachine}.
 */
final class RetryState {
  private static final long NOT_SET = Long.MAX_VALUE;

  private final RequestPolicy policy;
  private final RetryBudget budget;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private int budgetedFailures;
  private boolean chargePending;
  private RetryReason lastReason = RetryReason.REFUSED;
  private long recoveryDeadline = NOT_SET;
  private long nextRetryAt;

  RetryState(
      RequestPolicy policy, RetryBudget budget, MonotonicClock clock, RandomGenerator random) {
    this.policy = policy;
    this.budget = budget;
    this.clock = clock;
    this.random = random;
  }

  /** Records a failed attempt; {@link #chargeBudget} must succeed before the next attempt. */
  void recordFailure(RetryReason reason) {
    lastReason = reason;
    chargePending = true;
    budgetedFailures += reason.isBudgeted() ? 1 : 0;
  }

  /** Returns whether the maximum number of attempts is reached. Planned moves do not count. */
  boolean attemptsExhausted() {
    return budgetedFailures >= policy.maxAttempts();
  }

  /** Returns whether the next attempt needs no backoff delay. */
  boolean retriesImmediately() {
    return !lastReason.isBudgeted();
  }

  /**
   * Charges the pending attempt to the retry budget, once; returns false if the budget is
   * exhausted.
   */
  boolean chargeBudget() {
    if (chargePending && !budget.tryRetry(lastReason)) {
      return false;
    }
    chargePending = false;
    return true;
  }

  /**
   * Schedules the next try after a backoff delay; returns false if the recovery timeout has passed.
   */
  boolean scheduleRetry() {
    long now = clock.nanos();
    if (recoveryDeadline == NOT_SET) {
      recoveryDeadline = now + policy.recoveryTimeout().toNanos();
    }
    nextRetryAt = now + policy.backoff().delayNanos(Math.max(1, budgetedFailures), random);
    return now < recoveryDeadline;
  }

  /** Returns whether the scheduled time of the next try has been reached. */
  boolean isRetryDue() {
    return clock.nanos() >= nextRetryAt;
  }

  /**
   * Clears the recovery timeout after a delivered frame, so that the next failure starts a new one.
   */
  void onProgress() {
    recoveryDeadline = NOT_SET;
  }
}
