package org.heatherspread.relay.call;

import org.heatherspread.core.limit.LimitSlack;

/**
 * Limits of the relay.
 *
 * @param keyTrustMillis oldest configuration by which keys are accepted
 * @param retryRatio repeats allowed for each request of a service
 * @param retryWindowMillis window of the retry budget
 * @param retryExtra repeats allowed besides, by all daemons together in a window
 * @param slack by how much the limits of client accounts may be exceeded
 */
public record RelaySettings(
    long keyTrustMillis,
    double retryRatio,
    long retryWindowMillis,
    double retryExtra,
    LimitSlack slack) {}
