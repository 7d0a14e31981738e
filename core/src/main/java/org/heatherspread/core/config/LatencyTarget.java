package org.heatherspread.core.config;

import java.time.Duration;

/**
 * The latency that 95 of 100 requests of a service are to meet. Immutable.
 *
 * @param firstToken from acceptance to the first token, or to the whole answer of a plain service
 * @param interToken between tokens; unused by a plain service
 */
public record LatencyTarget(Duration firstToken, Duration interToken) {}
