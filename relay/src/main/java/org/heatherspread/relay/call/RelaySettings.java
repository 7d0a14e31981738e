package org.heatherspread.relay.call;

/**
 * Limits of the relay.
 *
 * @param keyTrustMillis oldest configuration by which keys are accepted
 * @param retryRatio repeats allowed for each request of a service
 * @param retryWindowMillis window of the retry budget
 * @param retryExtra repeats allowed besides, by all daemons together in a window
 */
public record RelaySettings(
    long keyTrustMillis, double retryRatio, long retryWindowMillis, double fixedRetries) {}
