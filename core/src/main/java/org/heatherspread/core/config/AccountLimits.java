package org.heatherspread.core.config;

/**
 * Limits of a client account across all daemons. Immutable.
 *
 * @param requestsPerSecond maximum number of accepted requests per second
 * @param tokensPerSecond maximum number of prompt and answer tokens per second
 * @param concurrency maximum number of requests in progress at the same time
 */
public record AccountLimits(double requestsPerSecond, double tokensPerSecond, int concurrency) {}
