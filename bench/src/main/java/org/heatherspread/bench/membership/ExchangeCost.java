package org.heatherspread.bench.membership;

import java.time.Duration;

/**
 * The cost of the membership exchange for each daemon of a fleet in steady state. Immutable.
 *
 * @param bytesPerSecond bytes sent and received by one daemon
 * @param messagesPerSecond messages sent by one daemon
 * @param corePercent CPU time of one daemon, in percent of a core
 */
public record ExchangeCost(double bytesPerSecond, double messagesPerSecond, double corePercent) {
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration MEASUREMENT = Duration.ofSeconds(20);
  private static final double NANOS_PER_SECOND = 1e9;

  /** Measures a {@link SimulatedFleet} without changes of membership or configuration. */
  public static ExchangeCost measureSteadyState(int daemons, int endpoints, long seed) {
    SimulatedFleet fleet = new SimulatedFleet(daemons, endpoints, seed);
    fleet.run(WARM_UP);
    fleet.traffic().reset();
    fleet.run(MEASUREMENT);
    double daemonSeconds = daemons * (double) MEASUREMENT.toSeconds();
    double nanos = fleet.traffic().handlingNanos + fleet.traffic().tickNanos;
    return new ExchangeCost(
        2 * fleet.traffic().bytes / daemonSeconds,
        fleet.traffic().messages / daemonSeconds,
        100 * nanos / daemonSeconds / NANOS_PER_SECOND);
  }
}
