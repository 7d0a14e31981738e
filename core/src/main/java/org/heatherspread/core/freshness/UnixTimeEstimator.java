package org.heatherspread.core.freshness;

import java.util.Arrays;
import java.util.Collection;

/**
 * Estimates the Unix time although the time of day of some machines jumps: the store's steady clock
 * plus the median, over all live daemons, of how far their time of day is ahead of it. Right while
 * less than half of the daemons are wrong. Confined to one thread.
 */
public final class UnixTimeEstimator {
  private final StoreFreshness contact;
  private long offsetMillis;

  private UnixTimeEstimator(StoreFreshness contact) {
    this.contact = contact;
  }

  /** Creates an estimate that relies on this machine alone until peers are heard. */
  public static UnixTimeEstimator create(StoreFreshness contact) {
    return new UnixTimeEstimator(contact);
  }

  /** Takes in every live daemon's time of day less the store's clock, this one's included. */
  public void updateOffsets(Collection<Long> wallLessStore) {
    if (wallLessStore.isEmpty()) {
      return;
    }
    long[] sorted = wallLessStore.stream().mapToLong(Long::longValue).toArray();
    Arrays.sort(sorted);
    offsetMillis = sorted[(sorted.length - 1) / 2];
  }

  /** Returns the Unix time in milliseconds. */
  public long unixMillis() {
    long offset = offsetMillis == 0 ? contact.wallClockOffsetMillis() : offsetMillis;
    return contact.storeMillis() + offset;
  }
}
