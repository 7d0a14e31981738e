package org.heatherspread.bench.caller;

import java.util.ArrayList;
import java.util.List;

/**
 * Records what a caller observes of one call while it makes it.
 *
 * <p>Not thread-safe.
 */
final class CallProgress {
  private final CallSpec spec;
  private final long startNanos = System.nanoTime();
  private final List<String> requestIds = new ArrayList<>();
  private final List<String> notRunIds = new ArrayList<>();
  private int tries;
  private int resumes;
  private int discardedTokens;
  private long firstTokenMillis = -1;
  private String detail = "";

  CallProgress(CallSpec spec) {
    this.spec = spec;
  }

  CallSpec spec() {
    return spec;
  }

  long elapsedMillis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void recordTry() {
    tries++;
  }

  void recordResume() {
    resumes++;
  }

  void addRequestId(String requestId) {
    if (requestId != null && !requestId.isEmpty() && !requestIds.contains(requestId)) {
      requestIds.add(requestId);
    }
  }

  void addNotRunId(String requestId) {
    if (requestId != null && !requestId.isEmpty()) {
      notRunIds.add(requestId);
    }
  }

  void recordFirstToken() {
    if (firstTokenMillis < 0) {
      firstTokenMillis = elapsedMillis();
    }
  }

  void addDiscardedTokens(int tokens) {
    discardedTokens += tokens;
  }

  void recordError(String reason) {
    detail = reason;
  }

  String detail() {
    return detail;
  }

  CallReport toReport(CallReport.Outcome outcome) {
    return new CallReport(
        spec,
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
