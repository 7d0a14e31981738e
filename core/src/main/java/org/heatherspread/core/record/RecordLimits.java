package org.heatherspread.core.record;

import java.time.Duration;

/**
 * Bounds on the memory of one table of records. Immutable.
 *
 * @param capacity records kept at most; a full table refuses new calls
 * @param retention how long a record stays after the call's expiry, so that callers may ask
 * @param answerBytes bytes of one answer kept at most
 * @param totalAnswerBytes bytes of all answers kept at most
 */
public record RecordLimits(
    int capacity, Duration retention, int answerBytes, long totalAnswerBytes) {
  private static final int DEFAULT_CAPACITY = 100_000;
  private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(10);
  private static final int DEFAULT_ANSWER_BYTES = 256 * 1024;
  private static final long DEFAULT_TOTAL_ANSWER_BYTES = 48L * 1024 * 1024;

  /** Returns the limits for a small entry instance. */
  public static RecordLimits defaults() {
    return new RecordLimits(
        DEFAULT_CAPACITY, DEFAULT_RETENTION, DEFAULT_ANSWER_BYTES, DEFAULT_TOTAL_ANSWER_BYTES);
  }

  /** Returns a copy with another capacity. */
  public RecordLimits withCapacity(int next) {
    return new RecordLimits(next, retention, answerBytes, totalAnswerBytes);
  }

  /** Returns a copy with another retention. */
  public RecordLimits withRetention(Duration next) {
    return new RecordLimits(capacity, next, answerBytes, totalAnswerBytes);
  }
}
