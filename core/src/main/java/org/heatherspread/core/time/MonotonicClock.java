package org.heatherspread.core.time;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock for measuring intervals; its origin is arbitrary.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the current time in nanoseconds. */
  long nanos();

  /** Returns the current time in milliseconds. */
  default long millis() {
    return TimeUnit.NANOSECONDS.toMillis(nanos());
  }

  /** Returns a clock that reads {@link System#nanoTime()}. */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}
