package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;

/**
 * The result of an {@link InvariantChecker}. Immutable; written as JSON under the component names,
 * so that no method other than a component accessor may be named like a getter.
 *
 * @param sent calls made
 * @param answeredWhole calls with a complete, correct answer
 * @param notRun calls reported as not run
 * @param unknown calls whose outcome stayed unknown
 * @param refused calls that were never accepted
 * @param lost accepted calls without a complete answer
 * @param wrong calls with an incorrect answer
 * @param runTwice writes that were executed more than once
 * @param notRunButRan request ids and writes that were reported as not run, but executed
 * @param lateStarts executions started on a leaving endpoint after the permitted time
 * @param resumed calls whose stream was resumed
 * @param recomputedTokens tokens computed more than once
 * @param firstTokenP50Millis median time to the first token of completions
 * @param firstTokenP95Millis 95th percentile of the time to the first token
 * @param withinTarget share of completions whose first token arrived within the latency target
 * @param faults one line for each violation and each call without a correct answer
 */
@JsonNaming(PropertyNamingStrategies.SnakeCaseStrategy.class)
public record CheckResult(
    int sent,
    int answeredWhole,
    int notRun,
    int unknown,
    int refused,
    int lost,
    int wrong,
    int runTwice,
    int notRunButRan,
    int lateStarts,
    int resumed,
    long recomputedTokens,
    long firstTokenP50Millis,
    long firstTokenP95Millis,
    double withinTarget,
    List<String> faults) {
  private static final double MIN_ANSWERED_SHARE = 0.95;

  /** Makes a defensive copy of the list. */
  public CheckResult {
    faults = List.copyOf(faults);
  }

  /**
   * Returns whether no invariant was violated and at least 95 of 100 calls were answered, as the
   * latency target requires. With fewer answers the invariants would hold trivially.
   */
  public boolean invariantsHold() {
    return answeredWhole >= MIN_ANSWERED_SHARE * sent
        && lost == 0
        && wrong == 0
        && runTwice == 0
        && notRunButRan == 0
        && lateStarts == 0;
  }
}
