package org.heatherspread.bench.caller;

import java.util.List;

/**
 * The result of one call as its caller observed it. Immutable.
 *
 * @param spec the call
 * @param outcome outcome of the call
 * @param requestIds request ids under which it was made; the last is that of the outcome
 * @param notRunIds request ids that the router reported as not run
 * @param tries requests sent, not counting resumes
 * @param resumes attempts to resume the stream on another connection
 * @param discardedTokens tokens received and discarded before the call was restarted
 * @param firstTokenMillis time from the first request to the first token or plain answer; -1 if
 *     there was none
 * @param totalMillis time from the first request to the end
 * @param detail the last error, or empty
 */
public record CallReport(
    CallSpec spec,
    Outcome outcome,
    List<String> requestIds,
    List<String> notRunIds,
    int tries,
    int resumes,
    int discardedTokens,
    long firstTokenMillis,
    long totalMillis,
    String detail) {
  /** Makes defensive copies of the lists. */
  public CallReport {
    requestIds = List.copyOf(requestIds);
    notRunIds = List.copyOf(notRunIds);
  }

  /** The outcome of a call. */
  public enum Outcome {
    /** The complete, correct answer was received. */
    ANSWERED,
    /** The call is known not to have run, and the caller gave up. */
    NOT_RUN,
    /** The call may have run. */
    UNKNOWN,
    /** The call was never accepted: it was refused, or no daemon responded. */
    REFUSED,
    /** The call was accepted, but its complete answer was never received. */
    LOST,
    /** An incorrect answer was received. */
    WRONG
  }
}
