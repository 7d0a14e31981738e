package org.heatherspread.relay.call;

import java.util.Set;
import org.heatherspread.core.serving.Feature;

/**
 * Settings of the relay.
 *
 * @param keyTrustMillis maximum age of the configuration with which keys are accepted
 * @param retryRatio retries allowed for each request of a service
 * @param retryWindowMillis window of the retry budget
 * @param fixedRetries additional retries in a window, for all daemons together
 * @param features parts of the system that the deployment asks for
 */
public record RelaySettings(
    long keyTrustMillis,
    double retryRatio,
    long retryWindowMillis,
    double fixedRetries,
    Set<Feature> features) {
  /** Copies the features, so that the record is immutable. */
  public RelaySettings {
    features = Set.copyOf(features);
  }
}
