package org.heatherspread.core.capacity;

/**
 * A scheduled peak of demand. Immutable.
 *
 * @param name cause of the peak
 * @param fromMillis start, in milliseconds since the epoch
 * @param untilMillis end, in milliseconds since the epoch
 * @param requestsPerSecond expected demand
 */
public record DemandPeak(
    String name, long fromMillis, long untilMillis, double requestsPerSecond) {}
