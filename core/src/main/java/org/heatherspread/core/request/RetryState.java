package org.heatherspread.core.request;

import java.util.random.RandomGenerator;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.MonotonicClock;

/**
 * How often and how long one request may be tried again: attempts, the retry budget of its service,
 * delays, and the time spent without an endpoint.
 *
 * <p>Not safe for use by several threads; belongs to one {@link RequestStateMachine}.
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

  /** An attempt failed; the next one has yet to be paid for. */
  void recordFailure(RetryReason reason) {
    lastReason = reason;
    chargePending = true;
    budgetedFailures += reason.isBudgeted() ? 1 : 0;
  }

  /** Tells whether no further attempt may be made. */
  boolean attemptsExhausted() {
    return budgetedFailures >= policy.maxAttempts();
  }

  /** Tells whether the next attempt need not wait. */
  boolean retriesImmediately() {
    return !lastReason.isBudgeted();
  }

  /** Takes the next attempt out of the retry budget; false if nothing is left there. */
  boolean chargeBudget() {
    if (chargePending && !budget.tryRetry(lastReason)) {
      return false;
    }
    chargePending = false;
    return true;
  }

  /** Sets the time of the next try; false if the search has gone on for too long. */
  boolean scheduleRetry() {
    long now = clock.nanos();
    if (recoveryDeadline == NOT_SET) {
      recoveryDeadline = now + policy.recoveryTimeout().toNanos();
    }
    nextRetryAt = now + policy.backoff().delayNanos(Math.max(1, budgetedFailures), random);
    return now < recoveryDeadline;
  }

  /** Tells whether the time of the next try has come. */
  boolean isRetryDue() {
    return clock.nanos() >= nextRetryAt;
  }

  /** The answer goes on: the next failure starts a new search. */
  void onProgress() {
    recoveryDeadline = NOT_SET;
  }
}
