package org.heatherspread.relay.caller;

import org.heatherspread.core.time.MonotonicClock;

/** Bounds the log lines about callers to a number per second. Confined to one thread. */
final class LogLimiter {
  private static final int MAX_LINES_PER_SECOND = 20;
  private static final long SECOND_MILLIS = 1_000;

  private final MonotonicClock clock;
  private long secondStartMillis;
  private int lines;
  private long suppressed;

  LogLimiter(MonotonicClock clock) {
    this.clock = clock;
    this.secondStartMillis = clock.millis();
  }

  /** Returns whether another line may be written now, and counts it. */
  boolean permitsLine() {
    long now = clock.millis();
    if (now - secondStartMillis >= SECOND_MILLIS) {
      secondStartMillis = now;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_SECOND) {
      suppressed++;
      return false;
    }
    lines++;
    return true;
  }

  /** Returns the number of lines that were not written since the last call. */
  long takeSuppressed() {
    long count = suppressed;
    suppressed = 0;
    return count;
  }
}
