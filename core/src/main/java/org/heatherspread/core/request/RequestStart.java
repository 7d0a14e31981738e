package org.heatherspread.core.request;

/**
 * Where a request's life begins at this daemon. Immutable.
 *
 * @param promptTokens tokens of the prompt, for the count of recomputed tokens
 * @param deadlineNanos reading of the monotonic clock at which the answer is no longer useful
 * @param attempt number of the attempt that runs already, or 0
 * @param endpoint instance id of the endpoint that runs it, or empty
 * @param baseOffset answer tokens whose text is known here
 * @param callerOffset answer tokens that the caller holds
 */
public record RequestStart(
    long promptTokens,
    long deadlineNanos,
    int attempt,
    String endpoint,
    long baseOffset,
    long callerOffset) {

  /** Returns the start of a request that was just accepted. */
  public static RequestStart accepted(long promptTokens, long deadlineNanos) {
    return new RequestStart(promptTokens, deadlineNanos, 0, "", 0, 0);
  }

  /** Tells whether an endpoint may have got the request from an earlier owner. */
  boolean isDispatched() {
    return attempt > 0;
  }
}
