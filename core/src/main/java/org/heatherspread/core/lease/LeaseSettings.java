package org.heatherspread.core.lease;

import java.time.Duration;

/**
 * Settings of leases. Immutable.
 *
 * @param duration validity of a renewal
 * @param margin time by which the holder considers its lease expired earlier, and other daemons
 *     later, than {@code duration}; tolerates clocks that run at different rates
 * @param renewInterval time between two renewals by the holder
 * @param standbyInterval time between two reads of the row by other daemons
 */
public record LeaseSettings(
    Duration duration, Duration margin, Duration renewInterval, Duration standbyInterval) {
  /** Returns leases that last 15 seconds. */
  public static LeaseSettings defaults() {
    return new LeaseSettings(
        Duration.ofSeconds(15),
        Duration.ofSeconds(2),
        Duration.ofSeconds(4),
        Duration.ofSeconds(4));
  }
}
