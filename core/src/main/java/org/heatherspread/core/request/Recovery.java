package org.heatherspread.core.request;

import java.util.random.RandomGenerator;
import org.heatherspread.core.retry.RetryBudget;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.MonotonicClock;

/**
 * How often and how long one request may be tried again: attempts, the retry budget of its service,
 * delays, and the time spent without an endpoint.
 *
 * <p>Not safe for use by several threads; belongs to one {@link RequestMachine}.
 */
final class Recovery {
  private static final long NO_TIME = Long.MAX_VALUE;

  private final RequestPolicy policy;
  private final RetryBudget budget;
  private final MonotonicClock clock;
  private final RandomGenerator random;
  private int failures;
  private boolean unpaid;
  private RetryReason reason = RetryReason.REFUSED;
  private long until = NO_TIME;
  private long wakeAt;

  Recovery(RequestPolicy policy, RetryBudget budget, MonotonicClock clock, RandomGenerator random) {
    this.policy = policy;
    this.budget = budget;
    this.clock = clock;
    this.random = random;
  }

  /** An attempt failed; the next one has yet to be paid for. */
  void failed(RetryReason why) {
    reason = why;
    unpaid = true;
    failures += why.budgeted() ? 1 : 0;
  }

  /** Tells whether no further attempt may be made. */
  boolean exhausted() {
    return failures >= policy.maxAttempts();
  }

  /** Tells whether the next attempt need not wait. */
  boolean immediate() {
    return !reason.budgeted();
  }

  /** Takes the next attempt out of the retry budget; false if nothing is left there. */
  boolean pay() {
    if (unpaid && !budget.tryRetry(reason)) {
      return false;
    }
    unpaid = false;
    return true;
  }

  /** Sets the time of the next try; false if the search has gone on for too long. */
  boolean sleep() {
    long now = clock.nanos();
    if (until == NO_TIME) {
      until = now + policy.recovery().toNanos();
    }
    wakeAt = now + policy.backoff().delayNanos(Math.max(1, failures), random);
    return now < until;
  }

  /** Tells whether the time of the next try has come. */
  boolean due() {
    return clock.nanos() >= wakeAt;
  }

  /** The answer goes on: the next failure starts a new search. */
  void progressed() {
    until = NO_TIME;
  }
}
