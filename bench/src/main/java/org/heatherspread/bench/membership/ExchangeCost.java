package org.heatherspread.bench.membership;

import java.time.Duration;

/**
 * What the steady exchange costs each daemon of a fleet. Immutable.
 *
 * @param bytesPerSecond sent and received by one daemon
 * @param messagesPerSecond sent by one daemon
 * @param corePercent processor time of one daemon, in per cent of a core
 */
public record ExchangeCost(double bytesPerSecond, double messagesPerSecond, double corePercent) {
  private static final Duration WARM_UP = Duration.ofSeconds(10);
  private static final Duration MEASUREMENT = Duration.ofSeconds(20);
  private static final double NANOS_PER_SECOND = 1e9;

  /** Runs a fleet of the real logic in simulated time without changes. */
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
