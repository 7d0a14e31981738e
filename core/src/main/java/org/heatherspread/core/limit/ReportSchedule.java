package org.heatherspread.core.limit;

import java.time.Duration;

/**
 * Schedule of a daemon's reports to the other daemons. Every report reaches every daemon, so the
 * interval grows with the fleet to bound the total report rate.
 *
 * <p>Immutable.
 *
 * @param minInterval time between two reports of a daemon in a small fleet
 * @param maxFleetReportsPerSecond bound on the reports of all daemons together
 */
public record ReportSchedule(Duration minInterval, double maxFleetReportsPerSecond) {
  private static final double DEFAULT_FLEET_REPORTS_PER_SECOND = 20;
  private static final int LIFETIME_INTERVALS = 3;

  /**
   * Returns a schedule whose total report rate the exchange between daemons can carry at the fleet
   * size that the system is designed for.
   */
  public static ReportSchedule of(Duration minInterval) {
    return new ReportSchedule(minInterval, DEFAULT_FLEET_REPORTS_PER_SECOND);
  }

  /** Returns the time between two reports of one daemon. */
  public Duration interval(int daemons) {
    Duration fleetInterval = Duration.ofNanos((long) (daemons / maxFleetReportsPerSecond * 1e9));
    return fleetInterval.compareTo(minInterval) > 0 ? fleetInterval : minInterval;
  }

  /**
   * Returns the time for which a report is valid, long enough that a lost report is followed by
   * another before its predecessor expires.
   */
  public Duration lifetime(int daemons, Duration minimum) {
    Duration needed = interval(daemons).multipliedBy(LIFETIME_INTERVALS);
    return needed.compareTo(minimum) > 0 ? needed : minimum;
  }
}
