package org.heatherspread.core.membership;

import java.time.Duration;

/**
 * Settings of the exchange between daemons. Immutable.
 *
 * @param exchangeInterval mean interval at which a daemon compares its state with one peer
 * @param flushInterval interval at which queued updates are pushed
 * @param suspectAfter time after which an unresponsive daemon is suspected
 * @param probeInterval mean interval at which each assigned daemon probes an endpoint
 * @param probersPerEndpoint number of daemons that probe each endpoint
 * @param peersPerDomain number of peers in each other failure domain of the region
 * @param peersPerRegion number of peers in each other region
 * @param pushFanOut number of peers that each push is sent to
 * @param pushBytesPerSecond limit of pushed updates, in bytes per second
 * @param pushBurstBytes limit of updates pushed at once, in bytes
 * @param maxSharedEntries limit of shared entries
 * @param instanceListLag maximum lag of the platform's instance list
 * @param tombstoneRetention time for which records of dead instances are kept
 */
public record MembershipSettings(
    Duration exchangeInterval,
    Duration flushInterval,
    Duration suspectAfter,
    Duration probeInterval,
    int probersPerEndpoint,
    int peersPerDomain,
    int peersPerRegion,
    int pushFanOut,
    int pushBytesPerSecond,
    int pushBurstBytes,
    int maxSharedEntries,
    Duration instanceListLag,
    Duration tombstoneRetention) {
  /** Returns the settings for 8 to 880 daemons. */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        Duration.ofMillis(500),
        Duration.ofMillis(50),
        Duration.ofSeconds(1),
        Duration.ofSeconds(1),
        2,
        2,
        2,
        4,
        12_000,
        65_536,
        4_096,
        Duration.ofSeconds(30),
        Duration.ofMinutes(10));
  }
}
