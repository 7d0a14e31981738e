package org.heatherspread.core.freshness;

import java.util.OptionalLong;

/**
 * Upper bound on the store's clock, from which follows when the store answered a read at the
 * earliest.
 *
 * <p>The store's clock showed at most the time in a response when the read started. A read that was
 * answered at once therefore bounds it closely, and a read that waited for changes is known to
 * cover most of its wait. Without this, data looks up to two waits old when the store fails, and
 * keys are rejected too early.
 *
 * <p>Invariants: bounds of another era are never used; a suspension, which the monotonic clock does
 * not count, discards the bound. Confined to one thread.
 */
final class StoreClockBound {
  /** Maximum drift between the store's clock and the monotonic clock. */
  private static final double DRIFT = 0.001;

  /** Difference between wall and monotonic clock from which on the process may have been paused. */
  private static final long PAUSE_MILLIS = 50;

  private long era;

  /** Upper bound on the store's clock minus the monotonic clock. */
  private double offsetMillis;

  /** Time of the latest read, null while the bound is unknown. */
  private StoreFreshness.ClockReading updated;

  private StoreClockBound() {}

  /** Creates a bound that is unknown until the first read. */
  static StoreClockBound create() {
    return new StoreClockBound();
  }

  /**
   * Records a read of the store itself.
   *
   * @param end time at which the response arrived
   * @param storeMillis time of the store's clock in the response
   */
  void recordRead(
      StoreFreshness.ClockReading start,
      StoreFreshness.ClockReading end,
      long readEra,
      long storeMillis) {
    double offset = storeMillis - start.monotonicMillis();
    if (isKnown(readEra) && !mayHavePaused(end) && !isExceeded(end, storeMillis)) {
      long elapsed = Math.max(0, end.monotonicMillis() - updated.monotonicMillis());
      offset = Math.min(offset, offsetMillis + DRIFT * elapsed);
    }
    era = readEra;
    offsetMillis = offset;
    updated = end;
  }

  private boolean isKnown(long readEra) {
    return updated != null && era == readEra;
  }

  private boolean mayHavePaused(StoreFreshness.ClockReading end) {
    long wall = end.wallMillis() - updated.wallMillis();
    long monotonic = end.monotonicMillis() - updated.monotonicMillis();
    return Math.abs(wall - monotonic) > PAUSE_MILLIS;
  }

  /** Returns whether the store's clock shows more than the bound, which is then wrong. */
  private boolean isExceeded(StoreFreshness.ClockReading end, long storeMillis) {
    return storeMillis > end.monotonicMillis() + offsetMillis + 1;
  }

  /**
   * Returns the earliest time on the monotonic clock at which the store's clock showed a time,
   * empty if it is not known.
   */
  OptionalLong earliestMonotonicMillis(long readEra, long storeMillis) {
    return isKnown(readEra)
        ? OptionalLong.of((long) Math.floor(storeMillis - offsetMillis))
        : OptionalLong.empty();
  }
}
