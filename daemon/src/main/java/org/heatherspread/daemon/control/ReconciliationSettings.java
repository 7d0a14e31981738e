package org.heatherspread.daemon.control;

import java.time.Duration;
import org.heatherspread.core.lease.LeaseSettings;
import org.heatherspread.settings.Section;

/**
 * Settings of leases and orders. Immutable.
 *
 * @param enginesCheckFencing whether this deployment's engines refuse orders with old fencing
 *     numbers
 * @param requestTimeout how long an order may be on its way
 * @param readInterval how often the state of an endpoint is read back
 * @param leases how leases are held
 */
public record ReconciliationSettings(
    boolean enginesCheckFencing,
    Duration requestTimeout,
    Duration readInterval,
    LeaseSettings leases) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration DEFAULT_READ_INTERVAL = Duration.ofSeconds(3);

  /** Returns the settings for engines that ignore fencing numbers. */
  public static ReconciliationSettings defaults() {
    return new ReconciliationSettings(
        false, DEFAULT_TIMEOUT, DEFAULT_READ_INTERVAL, LeaseSettings.defaults());
  }

  /** Reads the section {@code [orders]}. */
  public static ReconciliationSettings read(Section section) {
    return new ReconciliationSettings(
        section.flag("engines_check_fencing", false),
        section.duration(
            "timeout", DEFAULT_TIMEOUT, Duration.ofMillis(100), Duration.ofSeconds(30)),
        section.duration(
            "read_interval", DEFAULT_READ_INTERVAL, Duration.ofMillis(200), Duration.ofMinutes(5)),
        LeaseSettings.defaults());
  }
}
