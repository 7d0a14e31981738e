package org.heatherspread.daemon.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * What is known of a request when an endpoint is chosen for it. Immutable; the prompt must not be
 * changed.
 *
 * @param account name of the client account
 * @param service name of the service
 * @param version the model version, or empty for a plain service
 * @param adapter the adapter asked for, or empty
 * @param prompt the rendered prompt in UTF-8, as the prefix hashes cut it; empty for a plain call
 * @param maxTokens answer tokens asked for
 * @param priority higher is served first
 * @param preferredDomain name of the failure domain the caller prefers
 * @param excluded instance ids that must not be chosen, as they failed this request
 * @param remaining time left until the deadline
 */
@SuppressWarnings("ArrayRecordComponent")
public record RouteRequest(
    String account,
    String service,
    String version,
    String adapter,
    byte[] prompt,
    int maxTokens,
    int priority,
    Optional<String> preferredDomain,
    Set<String> excluded,
    Duration remaining) {

  /** Copies the set, so that the record stays immutable. */
  public RouteRequest {
    excluded = Set.copyOf(excluded);
  }
}
