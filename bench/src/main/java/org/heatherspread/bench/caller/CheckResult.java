package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.annotation.JsonNaming;
import java.util.List;

/**
 * What the callers' reports and the endpoints' ledgers say together. Immutable.
 *
 * @param sent calls made
 * @param answeredWhole calls with the whole right answer
 * @param notRun calls that ended with "not run"
 * @param unknown calls that ended with "unknown"
 * @param refused calls never accepted
 * @param lost accepted calls whose whole answer never came
 * @param wrong calls with a wrong answer
 * @param runTwice writes that ran more than once
 * @param notRunButRan ids told as "not run" that ran
 * @param lateStarts runs that began on a leaving endpoint after the bound
 * @param resumed calls whose stream was resumed
 * @param recomputedTokens tokens computed more than once
 * @param firstTokenP50Millis median time to the first token of a completion
 * @param firstTokenP95Millis 95th percentile of the same
 * @param withinTarget share of completions whose first token came within the target
 * @param faults what broke, one line each
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
  private static final double MIN_ANSWERED = 0.95;

  /** Copies the list, so that the record stays immutable. */
  public CheckResult {
    faults = List.copyOf(faults);
  }

  /**
   * Tells whether every invariant held, and enough was answered for that to mean something: 95 of
   * 100 calls, as the latency target has it.
   */
  public boolean invariantsHold() {
    return answeredWhole >= MIN_ANSWERED * sent
        && lost == 0
        && wrong == 0
        && runTwice == 0
        && notRunButRan == 0
        && lateStarts == 0;
  }
}
