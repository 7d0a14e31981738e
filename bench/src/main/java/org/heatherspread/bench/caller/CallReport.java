package org.heatherspread.bench.caller;

import java.util.List;

/**
 * What one caller saw of one call. Immutable.
 *
 * @param spec the call
 * @param outcome how it ended
 * @param requestIds ids that the system gave to it, the last being that of the outcome
 * @param notRunIds ids of which the caller was told that they did not run
 * @param tries requests sent, resumes left out
 * @param resumes streams taken up again on another connection
 * @param discardedTokens tokens received and thrown away before an answer was begun anew
 * @param firstTokenMillis from the first request to the first token or plain answer; -1 if none
 * @param totalMillis from the first request to the end
 * @param detail last error, or empty
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
  /** Copies the lists, so that the record stays immutable. */
  public CallReport {
    requestIds = List.copyOf(requestIds);
    notRunIds = List.copyOf(notRunIds);
  }

  /** How a call ended. */
  public enum Outcome {
    /** The whole right answer came. */
    ANSWERED,
    /** The caller was told that the call did not run, and gave up. */
    NOT_RUN,
    /** The caller was told that the call may have run. */
    UNKNOWN,
    /** The call was refused, or no daemon answered, before it was accepted. */
    REFUSED,
    /** The call was accepted and its whole answer never came. */
    LOST,
    /** An answer came that is not the right one. */
    WRONG
  }
}
