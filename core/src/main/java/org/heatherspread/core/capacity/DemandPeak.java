package org.heatherspread.core.capacity;

/**
 * A peak that is known ahead. Immutable.
 *
 * @param name what causes it
 * @param fromMillis begin, in milliseconds since the epoch
 * @param untilMillis end, in milliseconds since the epoch
 * @param requestsPerSecond expected rate
 */
public record DemandPeak(
    String name, long fromMillis, long untilMillis, double requestsPerSecond) {}
