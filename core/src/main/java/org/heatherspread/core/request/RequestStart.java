package org.heatherspread.core.request;

/**
 * State in which a request begins at this daemon. Immutable.
 *
 * @param promptTokens number of prompt tokens, for the count of recomputed tokens
 * @param deadlineNanos monotonic clock reading at which the request expires
 * @param attempt number of the attempt that is already running, or 0
 * @param endpoint instance id of the endpoint that runs the attempt, or empty
 * @param baseOffset number of response tokens whose text is known to this daemon
 * @param callerOffset number of response tokens that the caller has received
 */
public record RequestStart(
    long promptTokens,
    long deadlineNanos,
    int attempt,
    String endpoint,
    long baseOffset,
    long callerOffset) {

  /** Returns the initial state of a newly accepted request. */
  public static RequestStart accepted(long promptTokens, long deadlineNanos) {
    return new RequestStart(promptTokens, deadlineNanos, 0, "", 0, 0);
  }

  /** Returns whether an earlier owner may have sent the request to an endpoint. */
  boolean isDispatched() {
    return attempt > 0;
  }
}
