package org.heatherspread.daemon.control;

import java.time.Duration;
import org.heatherspread.core.lease.LeaseSettings;
import org.heatherspread.settings.Section;

/**
 * Settings of leases and of the orders to engines. Immutable.
 *
 * @param enginesCheckFencing whether the deployment's engines reject orders with stale fencing
 *     tokens
 * @param requestTimeout longest time after which an order that was sent can still arrive
 * @param readInterval interval between two reads of the state of an endpoint
 * @param leases settings of the leases
 */
public record ReconciliationSettings(
    boolean enginesCheckFencing,
    Duration requestTimeout,
    Duration readInterval,
    LeaseSettings leases) {
  private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(2);
  private static final Duration DEFAULT_READ_INTERVAL = Duration.ofSeconds(3);

  /** Returns the defaults, for engines that ignore fencing tokens. */
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
