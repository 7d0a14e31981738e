package org.heatherspread.node.soak;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * What callers sent and got, and what endpoints ran, with the promises that have to hold between
 * the two. Safe for use by any thread.
 */
final class RequestHistory {
  /** Statuses that promise that a request did not run and never will. */
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  /** Own statuses that no proper request may get. */
  private static final Set<Integer> REJECTION_STATUSES = Set.of(400, 401, 403, 404, 413, 431);

  /**
   * Time in which a change of keys reaches daemons that are cut off from the store for a while, in
   * nanoseconds.
   */
  private static final long KEY_PROPAGATION_NANOS = 10_000_000_000L;

  private static final int OK = 200;

  private final Map<String, SentRequest> sent = new ConcurrentHashMap<>();
  private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
  private final Queue<String> reportedViolations = new ConcurrentLinkedQueue<>();

  /**
   * A request as a caller sent it.
   *
   * @param service the service that its route leads to
   * @param account the account that holds its key
   * @param repeatable whether it may run more than once
   * @param key the key that it was sent with
   */
  record SentRequest(
      String id,
      String service,
      String account,
      boolean repeatable,
      long sentNanos,
      AccountKeys.Key key) {
    /** Tells whether the key has to be refused. */
    boolean mustBeRejected() {
      return sentNanos >= key.rejectedFromNanos();
    }

    /** Tells whether some daemon may rightly refuse the key: not known yet, or being taken away. */
    boolean mayBeRejected() {
      return sentNanos >= key.rejectedFromNanos() - KEY_PROPAGATION_NANOS
          || sentNanos < key.addedNanos() + KEY_PROPAGATION_NANOS;
    }
  }

  /** A request as an endpoint began to run it. */
  record Execution(String id, String service, String account, boolean keyForwarded) {}

  /**
   * The end of a request as its caller saw it.
   *
   * @param status 0 if there was no answer
   * @param complete whether the answer looked complete
   * @param fault what was wrong with its body, empty if nothing
   */
  record Response(int status, boolean complete, String fault) {}

  private final Map<String, Response> responses = new ConcurrentHashMap<>();

  void recordSent(SentRequest request) {
    sent.put(request.id(), request);
  }

  void recordExecution(Execution execution) {
    executions.add(execution);
  }

  void recordResponse(String id, Response response) {
    responses.put(id, response);
  }

  /** Records a violation that was detected outside this history. */
  void recordViolation(String text) {
    reportedViolations.add(text);
  }

  /** Returns how many responses had each status, 0 for none. */
  Map<Integer, Integer> statusCounts() {
    Map<Integer, Integer> counts = new TreeMap<>();
    responses.values().forEach(response -> counts.merge(response.status(), 1, Integer::sum));
    return counts;
  }

  /** Returns the share of requests with good keys sent since a time that were answered in full. */
  double successRateSince(long nanos) {
    int total = 0;
    int succeeded = 0;
    for (SentRequest request : sent.values()) {
      Response response = responses.get(request.id());
      if (request.sentNanos() < nanos || response == null || request.mayBeRejected()) {
        continue;
      }
      total++;
      succeeded += response.status() == OK && response.complete() ? 1 : 0;
    }
    return total == 0 ? 0 : (double) succeeded / total;
  }

  /** Returns all violations. */
  List<String> violations() {
    List<String> violations = new ArrayList<>(reportedViolations);
    Set<String> executedIds = new HashSet<>();
    for (Execution execution : executions) {
      SentRequest request = sent.get(execution.id());
      if (request == null) {
        violations.add("ran a request that nobody sent: " + execution);
        continue;
      }
      boolean first = executedIds.add(execution.id());
      check(violations, first || request.repeatable(), "ran more than once", request);
      check(
          violations,
          execution.service().equals(request.service()),
          "ran at another service",
          request);
      check(
          violations,
          execution.account().equals(request.account()),
          "ran for another account",
          request);
      check(violations, !execution.keyForwarded(), "got its caller's key passed on", request);
      check(violations, !request.mustBeRejected(), "ran with a key revoked before", request);
    }
    responses.forEach(
        (id, response) ->
            checkResponse(violations, sent.get(id), response, executedIds.contains(id)));
    return violations;
  }

  private static void checkResponse(
      List<String> violations, SentRequest request, Response response, boolean executed) {
    check(violations, response.fault().isEmpty(), response.fault(), request);
    boolean notExecuted = NOT_EXECUTED_STATUSES.contains(response.status());
    check(
        violations,
        !notExecuted || !executed || request.repeatable(),
        "was answered " + response.status() + " although it ran",
        request);
    check(
        violations,
        !REJECTION_STATUSES.contains(response.status()) || request.mayBeRejected(),
        "was denied with " + response.status(),
        request);
  }

  private static void check(
      List<String> violations, boolean holds, String fault, SentRequest request) {
    if (!holds) {
      violations.add(fault + ": " + request);
    }
  }
}
