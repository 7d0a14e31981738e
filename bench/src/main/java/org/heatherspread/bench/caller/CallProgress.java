package org.heatherspread.bench.caller;

import java.util.ArrayList;
import java.util.List;

/**
 * What a caller has seen of a call so far.
 *
 * <p>Not safe for use by several threads.
 */
final class CallProgress {
  private final CallPlan plan;
  private final long startedNanos = System.nanoTime();
  private final List<String> requestIds = new ArrayList<>();
  private final List<String> notRunIds = new ArrayList<>();
  private int tries;
  private int resumes;
  private int discardedTokens;
  private long firstTokenMillis = -1;
  private String detail = "";

  CallProgress(CallPlan plan) {
    this.plan = plan;
  }

  CallPlan plan() {
    return plan;
  }

  long elapsedMillis() {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }

  void sent() {
    tries++;
  }

  void resumed() {
    resumes++;
  }

  void knownAs(String requestId) {
    if (requestId != null && !requestId.isEmpty() && !requestIds.contains(requestId)) {
      requestIds.add(requestId);
    }
  }

  void toldNotRun(String requestId) {
    if (requestId != null && !requestId.isEmpty()) {
      notRunIds.add(requestId);
    }
  }

  void firstToken() {
    if (firstTokenMillis < 0) {
      firstTokenMillis = elapsedMillis();
    }
  }

  void discarded(int tokens) {
    discardedTokens += tokens;
  }

  void failed(String reason) {
    detail = reason;
  }

  String detail() {
    return detail;
  }

  CallReport end(CallReport.Outcome outcome) {
    return new CallReport(
        plan,
        outcome,
        requestIds,
        notRunIds,
        tries,
        resumes,
        discardedTokens,
        firstTokenMillis,
        elapsedMillis(),
        detail);
  }
}
