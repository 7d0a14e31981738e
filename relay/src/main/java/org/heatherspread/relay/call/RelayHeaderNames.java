package org.heatherspread.relay.call;

import java.util.Set;

/**
 * The names of the headers that requests and answers carry on a deployment. All names are compared
 * without regard to case.
 *
 * @param requestId id of one attempt of a caller; endpoints echo it
 * @param deadline milliseconds that the caller, or the daemon, waits
 * @param expectedEndpoint identity without which an endpoint refuses the request
 * @param account name of the client account, set for endpoints
 * @param signature proof of an endpoint that the answer is its own
 * @param notExecuted states that the endpoint did not run the request
 * @param tokenCounts prompt tokens and most answer tokens
 * @param promptParts the prompt's parts in order
 * @param urgency rank of the request at the endpoint, 0 for the most urgent
 * @param lastEvent id of the last event that was received of a stream
 * @param continueFrom names the copy of a run's memory that a request goes on from
 * @param reserved headers that only the system may set
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
    String cacheCopy,
    Set<String> reserved) {
  /** Copies the set. */
  public RelayHeaderNames {
    reserved = Set.copyOf(reserved);
  }
}
