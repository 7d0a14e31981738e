package org.heatherspread.daemon.routing;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;

/**
 * The properties of a request that determine the choice of its endpoint. Immutable; the prompt must
 * not be modified.
 *
 * @param account name of the client account
 * @param service name of the service
 * @param version required model version; empty for any and for plain services
 * @param adapter required adapter; empty for none
 * @param prompt rendered prompt in UTF-8, the input of the prefix hashes; empty for a plain call
 * @param maxTokens maximum number of answer tokens requested
 * @param priority requests of higher priority are preferred
 * @param preferredDomain name of the failure domain that the caller prefers
 * @param excluded ids of instances that must not be selected because they failed this request
 * @param remaining time until the deadline
 */
@SuppressWarnings("ArrayRecordComponent")
public record SelectionRequest(
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

  /** Copies the set. */
  public SelectionRequest {
    excluded = Set.copyOf(excluded);
  }
}
