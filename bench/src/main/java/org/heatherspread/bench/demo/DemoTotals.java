package org.heatherspread.bench.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.heatherspread.bench.caller.CheckResult;
import org.heatherspread.bench.process.JsonHttpClient;

/**
 * Sums the results of all deployments.
 *
 * <p>Not thread-safe.
 */
final class DemoTotals {
  private final ObjectNode counts = JsonHttpClient.mapper().createObjectNode();
  private boolean invariantsHold = true;
  private double cost;

  void add(CheckResult result, double deploymentCost) {
    invariantsHold &= result.invariantsHold();
    cost += deploymentCost;
    add("sent", result.sent());
    add("answered_whole", result.answeredWhole());
    add("not_run", result.notRun());
    add("unknown", result.unknown());
    add("refused", result.refused());
    add("run_twice", result.runTwice());
    add("lost", result.lost());
    add("wrong", result.wrong());
    add("not_run_but_ran", result.notRunButRan());
    add("late_starts", result.lateStarts());
    add("resumed", result.resumed());
    add("recomputed_tokens", result.recomputedTokens());
  }

  private void add(String name, long value) {
    counts.put(name, counts.path(name).asLong() + value);
  }

  boolean invariantsHold() {
    return invariantsHold;
  }

  ObjectNode toJson(long seed) {
    ObjectNode totals = counts.deepCopy();
    return totals
        .put("cost", Math.round(cost * 1e6) / 1e6)
        .put("seed", seed)
        .put("held", invariantsHold);
  }
}
