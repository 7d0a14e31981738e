package org.heatherspread.daemon.limit;

import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * Settings for sharing the limits of client accounts among the daemons. Immutable.
 *
 * @param reportInterval minimum interval between usage reports to the other daemons
 * @param burstDuration capacity of the token buckets as time at the limited rate
 * @param reportLifetime minimum time until a usage report expires
 */
public record LimitSettings(
    Duration reportInterval, Duration burstDuration, Duration reportLifetime) {
  /** Returns the defaults of settings that the file omits. */
  public static LimitSettings defaults() {
    return new LimitSettings(Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofSeconds(30));
  }

  /** Reads the section {@code [limits]}. */
  public static LimitSettings read(Section section) {
    LimitSettings defaults = defaults();
    return new LimitSettings(
        section.duration(
            "interval", defaults.reportInterval, Duration.ofMillis(100), Duration.ofMinutes(1)),
        section.duration(
            "burst", defaults.burstDuration, Duration.ofMillis(100), Duration.ofMinutes(1)),
        section.duration(
            "report_lifetime",
            defaults.reportLifetime,
            Duration.ofSeconds(1),
            Duration.ofHours(1)));
  }
}
