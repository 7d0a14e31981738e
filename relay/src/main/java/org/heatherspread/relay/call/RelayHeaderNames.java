package org.heatherspread.relay.call;

import java.util.Set;

/**
 * Names of the headers of requests and responses in a deployment, compared without regard to case.
 * Immutable.
 *
 * @param requestId id of an attempt of a caller, which endpoints repeat in the response
 * @param deadline remaining time of the caller, or of the daemon towards endpoints, in milliseconds
 * @param expectedEndpoint id of the endpoint that may run the request; others refuse it
 * @param account name of the client account, sent to endpoints
 * @param signature proof that the response is from the endpoint
 * @param notExecuted declares that the endpoint did not execute the request
 * @param tokenCounts prompt tokens and maximum answer tokens
 * @param promptSegments segments of the prompt in order
 * @param urgency priority of the request at the endpoint, 0 is the most urgent
 * @param lastEventId id of the last event received of a stream
 * @param resumes id of the caller's attempt that brought the first event of a resumed stream
 * @param cacheCopy reference to the KV cache from which a migrated run resumes
 * @param endpointLimit requests per second that the endpoint takes from all daemons together
 * @param endpointLeaving declares that the endpoint is leaving
 * @param endpointBrittle rejections in a second beyond which the endpoint falls over
 * @param reserved headers that are removed from requests of callers, as only the system sets them
 */
public record RelayHeaderNames(
    String requestId,
    String deadline,
    String expectedEndpoint,
    String account,
    String signature,
    String notExecuted,
    String tokenCounts,
    String promptSegments,
    String urgency,
    String lastEventId,
    String resumes,
    String cacheCopy,
    String endpointLimit,
    String endpointLeaving,
    String endpointBrittle,
    Set<String> reserved) {
  /** Copies the set of reserved names. */
  public RelayHeaderNames {
    reserved = Set.copyOf(reserved);
  }
}
