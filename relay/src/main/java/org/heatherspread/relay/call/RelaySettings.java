package org.heatherspread.relay.call;

/**
 * Settings of the relay.
 *
 * @param keyTrustMillis maximum age of the configuration with which keys are accepted
 * @param retryRatio retries allowed for each request of a service
 * @param retryWindowMillis window of the retry budget
 * @param fixedRetries additional retries in a window, for all daemons together
 */
public record RelaySettings(
    long keyTrustMillis, double retryRatio, long retryWindowMillis, double fixedRetries) {}
