package org.heatherspread.core.queue;

/**
 * Spreads rejected callers over the time at which capacity is available.
 *
 * <p>Callers retry once. If all returned after the same short time, they would meet the overload
 * that rejected them, and take the capacity of new requests that can still meet their targets. Each
 * rejected request therefore books a part of the capacity behind the queue and behind the bookings
 * before it. Confined to one thread.
 */
final class RetrySchedule {
  /** Share of the capacity that returning callers may book; the rest is for new requests. */
  private static final double BOOKED_SHARE = 0.5;

  private static final double MIN_MILLIS = 150;

  /** Share of a caller's remaining time up to which it honours a time to retry. */
  private static final double MAX_REMAINING_SHARE = 1.0 / 3;

  private double bookedUntilMillis = Double.NEGATIVE_INFINITY;

  /**
   * Returns the time after which a rejected caller should retry.
   *
   * @param waitMillis expected wait of a request that is queued now
   * @param remainingMillis time until the request can no longer begin
   */
  double book(
      double workMillis, double waitMillis, double perMilli, long remainingMillis, long nowMillis) {
    double longest = Math.max(2 * MIN_MILLIS, MAX_REMAINING_SHARE * remainingMillis);
    double latest = nowMillis + longest;
    double earliest = nowMillis + Math.min(longest / 2, Math.max(MIN_MILLIS, waitMillis));
    double step = workMillis / (perMilli * BOOKED_SHARE);
    bookedUntilMillis = Math.max(earliest, bookedUntilMillis) + step;
    if (bookedUntilMillis > latest) {
      // All the time that callers wait for is booked; they are spread over it once more.
      bookedUntilMillis = Math.min(latest, earliest + step);
    }
    return bookedUntilMillis - nowMillis;
  }
}
