package org.heatherspread.core.limit;

import java.time.Duration;

/**
 * How often a daemon reports its use to the others. Every report reaches every daemon, so the time
 * between two reports of one daemon grows with the fleet and the reports of all stay within what
 * the exchange between daemons can carry.
 *
 * <p>Immutable and safe for use by any thread.
 *
 * @param shortest time between two reports in a small fleet
 * @param fleetReportsPerSecond most reports of all daemons together a second
 */
public record ReportSchedule(Duration minInterval, double maxFleetReportsPerSecond) {
  private static final double DEFAULT_FLEET_REPORTS_PER_SECOND = 20;
  private static final int LIVES_IN_INTERVALS = 3;

  /** Returns a pace that fits the exchange at the design size. */
  public static ReportSchedule of(Duration shortest) {
    return new ReportSchedule(shortest, DEFAULT_FLEET_REPORTS_PER_SECOND);
  }

  /** Returns the time between two reports in a fleet of this many daemons. */
  public Duration interval(int daemons) {
    Duration fair = Duration.ofNanos((long) (daemons / maxFleetReportsPerSecond * 1e9));
    return fair.compareTo(minInterval) > 0 ? fair : minInterval;
  }

  /** Returns how long a report must count, so that one that is lost does no harm. */
  public Duration lifetime(int daemons, Duration least) {
    Duration needed = interval(daemons).multipliedBy(LIVES_IN_INTERVALS);
    return needed.compareTo(least) > 0 ? needed : least;
  }
}
