package org.heatherspread.core.retry;

import java.util.Arrays;
import org.heatherspread.core.time.MonotonicClock;

/**
 * This daemon's share of the retry budget of one service. In any window, retries are limited to a
 * fraction of the daemon's own requests plus its share of a fixed number of retries.
 *
 * <p>Unused budget of the window may be spent at once, because the loss of an endpoint fails many
 * requests at the same time. The shares of all daemons add up to at most the whole budget, so no
 * coordination is needed. Not thread-safe; confined to one thread.
 */
public final class WindowedRetryBudget {
  private static final int BUCKETS = 20;

  /** Fraction of the budget left unspent because the daemons do not align their windows. */
  private static final double SAFETY_MARGIN = 0.15;

  private final MonotonicClock clock;
  private final double ratio;
  private final long bucketMillis;
  private final double[] requests = new double[BUCKETS];
  private final double[] retries = new double[BUCKETS];
  private double fixedRetries;
  private long current;

  private WindowedRetryBudget(MonotonicClock clock, double ratio, long windowMillis) {
    this.clock = clock;
    this.ratio = ratio;
    this.bucketMillis = Math.max(1, windowMillis / (BUCKETS - 1));
    this.current = clock.millis() / bucketMillis;
  }

  /**
   * Creates an empty budget.
   *
   * @param ratio retries allowed per request
   */
  public static WindowedRetryBudget create(MonotonicClock clock, double ratio, long windowMillis) {
    return new WindowedRetryBudget(clock, ratio, windowMillis);
  }

  /** Sets this daemon's share of the fixed number of retries per window. */
  public void setFixedRetries(double retriesPerWindow) {
    fixedRetries = retriesPerWindow;
  }

  /** Counts a request of a caller. */
  public void onRequest() {
    advance();
    requests[bucketIndex(current)]++;
  }

  /** Returns whether a retry is left. */
  public boolean allowsRetry() {
    advance();
    return sum(retries) + 1 <= allowedRetries();
  }

  /** Takes one retry; returns false if none is left. */
  public boolean tryRetry() {
    if (!allowsRetry()) {
      return false;
    }
    retries[bucketIndex(current)]++;
    return true;
  }

  private double allowedRetries() {
    return (1 - SAFETY_MARGIN) * (ratio * sum(requests) + fixedRetries);
  }

  private void advance() {
    long now = clock.millis() / bucketMillis;
    if (now - current >= BUCKETS) {
      Arrays.fill(requests, 0);
      Arrays.fill(retries, 0);
      current = now;
    }
    while (current < now) {
      current++;
      requests[bucketIndex(current)] = 0;
      retries[bucketIndex(current)] = 0;
    }
  }

  private static int bucketIndex(long bucket) {
    return (int) Math.floorMod(bucket, (long) BUCKETS);
  }

  private static double sum(double[] buckets) {
    double sum = 0;
    for (double bucket : buckets) {
      sum += bucket;
    }
    return sum;
  }
}
