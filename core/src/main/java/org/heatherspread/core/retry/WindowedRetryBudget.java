package org.heatherspread.core.retry;

import java.util.Arrays;
import org.heatherspread.core.time.MonotonicClock;

/**
 * This daemon's part in the retry budget of one service, which all daemons share: in any window,
 * repeats are at most a share of the daemon's own requests plus its part of a fixed number.
 *
 * <p>Answers the load in which an endpoint is lost under many requests at once: what was not spent
 * in the window may be spent in one instant. The sum over all daemons keeps the budget without
 * messages. Confined to one thread.
 */
public final class WindowedRetryBudget {
  private static final int BUCKETS = 20;

  /** Part of the budget left unspent, against windows that the daemons cut differently. */
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
   * Creates a budget that has earned nothing.
   *
   * @param ratio repeats allowed for each request
   */
  public static WindowedRetryBudget create(MonotonicClock clock, double ratio, long windowMillis) {
    return new WindowedRetryBudget(clock, ratio, windowMillis);
  }

  /** Sets this daemon's part of the fixed number of repeats in a window. */
  public void setFixedRetries(double retriesPerWindow) {
    fixedRetries = retriesPerWindow;
  }

  /** Counts a caller's request. */
  public void onRequest() {
    advance();
    requests[bucketIndex(current)]++;
  }

  /** Takes one repeat out; false if none is left. */
  public boolean tryRetry() {
    advance();
    if (sum(retries) + 1 > allowedRetries()) {
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
