package org.heatherspread.core.record;

import java.time.Duration;

/**
 * Memory limits of a record table. Immutable.
 *
 * @param capacity maximum number of records; a full table refuses new calls
 * @param retention time for which a record is kept after the expiry of its call, so that callers
 *     can look up the outcome
 * @param maxResponseBytes maximum size of a stored response
 * @param maxTotalResponseBytes maximum size of all stored responses
 */
public record RecordLimits(
    int capacity, Duration retention, int maxResponseBytes, long maxTotalResponseBytes) {
  private static final int DEFAULT_CAPACITY = 100_000;
  private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(10);
  private static final int DEFAULT_MAX_RESPONSE_BYTES = 256 * 1024;
  private static final long DEFAULT_MAX_TOTAL_RESPONSE_BYTES = 48L * 1024 * 1024;

  /** Returns the limits for a small entry instance. */
  public static RecordLimits defaults() {
    return new RecordLimits(
        DEFAULT_CAPACITY,
        DEFAULT_RETENTION,
        DEFAULT_MAX_RESPONSE_BYTES,
        DEFAULT_MAX_TOTAL_RESPONSE_BYTES);
  }

  /** Returns a copy with another capacity. */
  public RecordLimits withCapacity(int newCapacity) {
    return new RecordLimits(newCapacity, retention, maxResponseBytes, maxTotalResponseBytes);
  }

  /** Returns a copy with another retention. */
  public RecordLimits withRetention(Duration newRetention) {
    return new RecordLimits(capacity, newRetention, maxResponseBytes, maxTotalResponseBytes);
  }
}
