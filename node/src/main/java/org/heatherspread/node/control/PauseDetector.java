package org.heatherspread.node.control;

import java.time.InstantSource;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Detects pauses of the process: a frozen process, during which both clocks advance, and a
 * suspended machine, during which only the wall clock does. Must be checked more often than every
 * {@link #MIN_PAUSE_MILLIS}. Confined to one thread.
 */
final class PauseDetector {
  /** Time between two checks that a running process does not reach. */
  private static final long MIN_PAUSE_MILLIS = 700;

  private final MonotonicClock clock;
  private final InstantSource wallClock;
  private long lastMonotonicMillis;
  private long lastWallMillis;

  PauseDetector(MonotonicClock clock, InstantSource wallClock) {
    this.clock = clock;
    this.wallClock = wallClock;
    this.lastMonotonicMillis = clock.millis();
    this.lastWallMillis = wallClock.millis();
  }

  /** Returns whether the process was paused since the last call. */
  boolean pausedSinceLastCheck() {
    long monotonicMillis = clock.millis();
    long wallMillis = wallClock.millis();
    boolean paused =
        monotonicMillis - lastMonotonicMillis > MIN_PAUSE_MILLIS
            || wallMillis - lastWallMillis > MIN_PAUSE_MILLIS;
    lastMonotonicMillis = monotonicMillis;
    lastWallMillis = wallMillis;
    return paused;
  }
}
