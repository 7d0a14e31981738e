package org.heatherspread.core.freshness;

import java.util.Arrays;
import java.util.Collection;

/**
 * Estimates the Unix time while the wall clocks of some machines may jump. The estimate is the
 * store's steady clock plus the median offset of the wall clocks of all live daemons, and is
 * correct while fewer than half of the daemons are wrong. Confined to one thread.
 */
public final class UnixTimeEstimator {
  private final StoreFreshness freshness;
  private long medianOffsetMillis;

  private UnixTimeEstimator(StoreFreshness freshness) {
    this.freshness = freshness;
  }

  /**
   * Creates an estimator that uses only this machine's wall clock until offsets of peers arrive.
   */
  public static UnixTimeEstimator create(StoreFreshness freshness) {
    return new UnixTimeEstimator(freshness);
  }

  /**
   * Updates the wall clock offsets from the store's clock of all live daemons, including this one.
   */
  public void updateOffsets(Collection<Long> wallClockOffsets) {
    if (wallClockOffsets.isEmpty()) {
      return;
    }
    long[] sorted = wallClockOffsets.stream().mapToLong(Long::longValue).toArray();
    Arrays.sort(sorted);
    medianOffsetMillis = sorted[(sorted.length - 1) / 2];
  }

  /** Returns the estimated Unix time in milliseconds. */
  public long unixMillis() {
    long offset = medianOffsetMillis == 0 ? freshness.wallClockOffsetMillis() : medianOffsetMillis;
    return freshness.storeMillis() + offset;
  }
}
