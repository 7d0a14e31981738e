package org.heatherspread.core.config;

/**
 * What a client account may use across all daemons. Immutable.
 *
 * @param requestsPerSecond accepted requests a second
 * @param tokensPerSecond prompt and answer tokens a second
 * @param concurrency requests in progress at once
 */
public record AccountLimits(double requestsPerSecond, double tokensPerSecond, int concurrency) {}
