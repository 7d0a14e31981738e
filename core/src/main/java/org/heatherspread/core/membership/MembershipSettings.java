package org.heatherspread.core.membership;

import java.time.Duration;

/**
 * Settings of the exchange between daemons. Immutable.
 *
 * @param exchangeInterval how often a daemon compares its state with one other
 * @param flushInterval how long news is gathered before it is pushed
 * @param suspectAfter how long a daemon may be in doubt before it is suspected
 * @param probeInterval how often an endpoint is probed by each of the daemons that probe it
 * @param probersPerEndpoint how many daemons probe each endpoint
 * @param peersPerDomain links to each other failure domain of the region
 * @param peersPerRegion links to each other region
 * @param pushFanOut to how many daemons news is pushed at once
 * @param pushBytesPerSecond bound of pushed news a second, in bytes
 * @param pushBurstBytes pushed news that may go out at once, in bytes
 * @param maxSharedEntries bound of shared entries
 * @param instanceListLag how long the platform's instance list may lag
 * @param tombstoneRetention how long the dead are remembered
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
