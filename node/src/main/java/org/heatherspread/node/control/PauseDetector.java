package org.heatherspread.node.control;

import java.time.InstantSource;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Notices that the process stood still: frozen, so that both clocks went on, or suspended, so that
 * only the time of day did. Ticked often; confined to one thread.
 */
final class PauseDetector {
  /** Gap between ticks that an undisturbed process does not reach. */
  private static final long GAP_MILLIS = 700;

  private final MonotonicClock clock;
  private final InstantSource wall;
  private long monoMillis;
  private long wallMillis;

  PauseDetector(MonotonicClock clock, InstantSource wall) {
    this.clock = clock;
    this.wall = wall;
    this.monoMillis = clock.millis();
    this.wallMillis = wall.millis();
  }

  /** Ticks; true if the process stood still since the last tick. */
  boolean pausedSinceLastCheck() {
    long mono = clock.millis();
    long day = wall.millis();
    boolean stood = mono - monoMillis > GAP_MILLIS || day - wallMillis > GAP_MILLIS;
    monoMillis = mono;
    wallMillis = day;
    return stood;
  }
}
