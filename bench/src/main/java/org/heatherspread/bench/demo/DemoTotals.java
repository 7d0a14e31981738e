package org.heatherspread.bench.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.heatherspread.bench.caller.Verdict;
import org.heatherspread.bench.process.JsonCalls;

/**
 * The sums over all deployments.
 *
 * <p>Not safe for use by several threads.
 */
final class DemoTotals {
  private final ObjectNode sums = JsonCalls.mapper().createObjectNode();
  private boolean held = true;
  private double cost;

  void add(Verdict verdict, double deploymentCost) {
    held &= verdict.held();
    cost += deploymentCost;
    add("sent", verdict.sent());
    add("answered_whole", verdict.answeredWhole());
    add("not_run", verdict.notRun());
    add("unknown", verdict.unknown());
    add("refused", verdict.refused());
    add("run_twice", verdict.runTwice());
    add("lost", verdict.lost());
    add("wrong", verdict.wrong());
    add("not_run_but_ran", verdict.notRunButRan());
    add("late_starts", verdict.lateStarts());
    add("resumed", verdict.resumed());
    add("recomputed_tokens", verdict.recomputedTokens());
  }

  private void add(String name, long value) {
    sums.put(name, sums.path(name).asLong() + value);
  }

  boolean held() {
    return held;
  }

  ObjectNode json(long seed) {
    ObjectNode all = sums.deepCopy();
    return all.put("cost", Math.round(cost * 1e6) / 1e6).put("seed", seed).put("held", held);
  }
}
