package org.heatherspread.core.config;

import java.time.Duration;

/**
 * Latency that 95 of 100 requests of a service must not exceed. Immutable.
 *
 * @param firstToken time from acceptance to the first token, or to the complete response of a plain
 *     service
 * @param interToken time between tokens; not used for plain services
 */
public record LatencyTarget(Duration firstToken, Duration interToken) {}
