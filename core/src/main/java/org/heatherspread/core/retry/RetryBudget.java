package org.heatherspread.core.retry;

import java.util.concurrent.TimeUnit;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Limits the retries of one service to a share of its requests, so that retries do not overload a
 * failing service. Implemented as a token bucket: each request adds a fraction of a token, tokens
 * are also added at a fixed rate, and each retry takes one token. Modelled on the retry budget of
 * Finagle.
 *
 * <p>Thread-safe. The balance stays between zero and the burst size.
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

  /** Adds the share of a token that a new request earns. */
  public synchronized void onRequest() {
    balance = Math.min(settings.burst(), balance + settings.ratio());
  }

  /**
   * Takes one token for a retry; returns false if none is left. Reasons that are not budgeted
   * always succeed.
   */
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

  /** Returns the number of retries that are available now. */
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
