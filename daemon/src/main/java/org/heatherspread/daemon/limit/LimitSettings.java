package org.heatherspread.daemon.limit;

import java.time.Duration;
import org.heatherspread.settings.Section;

/**
 * How the limits of client accounts are shared between daemons. Immutable.
 *
 * @param reportInterval between reports to the other daemons
 * @param burstDuration how long a rate may be saved up and then used at once
 * @param reportLifetime how long a report is kept by the exchange
 */
public record LimitSettings(
    Duration reportInterval, Duration burstDuration, Duration reportLifetime) {
  /** Returns the settings used where the file gives none. */
  public static LimitSettings defaults() {
    return new LimitSettings(Duration.ofMillis(500), Duration.ofSeconds(1), Duration.ofSeconds(30));
  }

  /** Reads the section {@code [limits]}. */
  public static LimitSettings read(Section section) {
    LimitSettings base = defaults();
    return new LimitSettings(
        section.duration(
            "interval", base.reportInterval, Duration.ofMillis(100), Duration.ofMinutes(1)),
        section.duration(
            "burst", base.burstDuration, Duration.ofMillis(100), Duration.ofMinutes(1)),
        section.duration(
            "report_lifetime", base.reportLifetime, Duration.ofSeconds(1), Duration.ofHours(1)));
  }
}
