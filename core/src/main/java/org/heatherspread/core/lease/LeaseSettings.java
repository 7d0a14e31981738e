package org.heatherspread.core.lease;

import java.time.Duration;

/**
 * Settings of leases. Immutable.
 *
 * @param duration for how long a renewal holds
 * @param margin by how much the holder ends earlier and the others wait longer, against clocks that
 *     run at different speeds
 * @param renewInterval how often the holder renews
 * @param standbyInterval how often others look at the row
 */
public record LeaseSettings(
    Duration duration, Duration margin, Duration renewInterval, Duration standbyInterval) {
  /** Returns the default settings. */
  public static LeaseSettings defaults() {
    return new LeaseSettings(
        Duration.ofSeconds(15),
        Duration.ofSeconds(2),
        Duration.ofSeconds(4),
        Duration.ofSeconds(4));
  }
}
