package org.heatherspread.core.retry;

import java.util.concurrent.TimeUnit;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Limits the retries of one service to a share of its requests, so that a failing service is not
 * given more load. A token bucket: each request puts in a share of a token, time puts in a few, and
 * each retry takes one out. The idea is the retry budget of Finagle.
 *
 * <p>Safe for use by any thread. The balance stays between zero and the burst.
 */
public final class RetryBudget {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final RetryBudgetSettings settings;
  private final MonotonicClock clock;
  private double balance;
  private long refilledAt;

  private RetryBudget(RetryBudgetSettings settings, MonotonicClock clock) {
    this.settings = settings;
    this.clock = clock;
    this.balance = settings.burst();
    this.refilledAt = clock.nanos();
  }

  /** Creates a full budget. */
  public static RetryBudget create(RetryBudgetSettings settings, MonotonicClock clock) {
    return new RetryBudget(settings, clock);
  }

  /** Counts a new request, which earns a share of a retry. */
  public synchronized void onRequest() {
    balance = Math.min(settings.burst(), balance + settings.ratio());
  }

  /** Takes one retry out; false if none is left. Reasons that are not budgeted always pass. */
  public synchronized boolean tryRetry(RetryReason reason) {
    if (!reason.isBudgeted()) {
      return true;
    }
    refill();
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }

  /** Returns how many retries are left now. */
  public synchronized double balance() {
    refill();
    return balance;
  }

  private void refill() {
    long now = clock.nanos();
    double earned = (now - refilledAt) / NANOS_PER_SECOND * settings.perSecond();
    balance = Math.min(settings.burst(), balance + Math.max(0, earned));
    refilledAt = now;
  }
}
