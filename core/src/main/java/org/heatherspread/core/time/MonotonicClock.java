package org.heatherspread.core.time;

import java.util.concurrent.TimeUnit;

/**
 * A clock for intervals that never goes back; its zero is arbitrary.
 *
 * <p>Implementations are safe for use by any thread.
 */
@FunctionalInterface
public interface MonotonicClock {
  /** Returns the reading in nanoseconds. */
  long nanos();

  /** Returns the reading in milliseconds. */
  default long millis() {
    return TimeUnit.NANOSECONDS.toMillis(nanos());
  }

  /** Returns the clock of the running machine. */
  static MonotonicClock system() {
    return System::nanoTime;
  }
}
