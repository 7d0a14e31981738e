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
 * Records the requests and responses of callers and the executions of endpoints, and checks them
 * against the guarantees of the daemons. Thread-safe.
 */
final class RequestHistory {
  /** Statuses that guarantee that the request was not and will not be executed. */
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  /** Statuses of the daemons that no valid request may receive. */
  private static final Set<Integer> REJECTION_STATUSES = Set.of(400, 401, 403, 404, 413, 431);

  /**
   * Time in which a change of keys reaches daemons that temporarily lose the store, in nanoseconds.
   */
  private static final long KEY_PROPAGATION_NANOS = 10_000_000_000L;

  private static final int OK = 200;
  private static final int REFUSED = 503;
  private static final int SERVER_ERROR = 500;

  /** Time before and after a stop of a daemon in which it may close kept connections. */
  private static final long STOP_RACE_NANOS = 500_000_000L;

  /** Time after which a request may have expired, just below the timeout of its route. */
  private static final long EXPIRY_NANOS = 1_900_000_000L;

  private static final long BULK_EXPIRY_NANOS = 7_900_000_000L;

  /** Time after a stop of a daemon in which it may cut responses that it cannot finish. */
  private static final long STOP_NANOS = 6_000_000_000L;

  /** Start of the ids of requests that end each endpoint that begins their answers. */
  static final String CRASHING = "crash-";

  private final Map<String, SentRequest> sent = new ConcurrentHashMap<>();
  private final Queue<Execution> executions = new ConcurrentLinkedQueue<>();
  private final Queue<String> reportedViolations = new ConcurrentLinkedQueue<>();
  private final Queue<String> lateArrivals = new ConcurrentLinkedQueue<>();
  private final Queue<Long> stopsNanos = new ConcurrentLinkedQueue<>();
  private final Set<String> bulkIds = ConcurrentHashMap.newKeySet();
  private volatile boolean losesNothing;

  /**
   * A request sent by a caller.
   *
   * @param service service that its route selects
   * @param account account that owns the key
   * @param repeatable whether the request may be executed more than once
   * @param key key that authenticates the request
   */
  record SentRequest(
      String id,
      String service,
      String account,
      boolean repeatable,
      long sentNanos,
      AccountKeys.Key key) {
    /** Returns whether every daemon must reject the key. */
    boolean mustBeRejected() {
      return sentNanos >= key.rejectedFromNanos();
    }

    /**
     * Returns whether a daemon may reject the key, because it has not propagated yet or is being
     * revoked.
     */
    boolean mayBeRejected() {
      return sentNanos >= key.rejectedFromNanos() - KEY_PROPAGATION_NANOS
          || sentNanos < key.addedNanos() + KEY_PROPAGATION_NANOS;
    }
  }

  /**
   * The start of an execution at an endpoint.
   *
   * @param keyForwarded whether the endpoint received the caller's key
   */
  record Execution(String id, String service, String account, boolean keyForwarded, long atNanos) {
    Execution(String id, String service, String account, boolean keyForwarded) {
      this(id, service, account, keyForwarded, System.nanoTime());
    }
  }

  /**
   * The result of a request at its caller.
   *
   * @param status 0 if there was no response
   * @param complete whether the response was received to its end
   * @param fault fault found in the headers or the body, empty if none
   */
  record Response(int status, boolean complete, String fault) {}

  private final Map<String, Response> responses = new ConcurrentHashMap<>();
  private final Map<String, Long> responseNanos = new ConcurrentHashMap<>();

  /**
   * Returns the name under which an attempt is recorded: callers may send several with one id, and
   * the guarantees hold for each of them.
   *
   * @param repetition number of earlier attempts with the id
   */
  static String attempt(String id, int repetition) {
    return repetition == 0 ? id : id + '#' + repetition;
  }

  void recordSent(SentRequest request) {
    sent.put(request.id(), request);
  }

  void recordExecution(Execution execution) {
    executions.add(execution);
  }

  void recordResponse(String id, Response response) {
    responses.put(id, response);
    responseNanos.put(id, System.nanoTime());
  }

  /** Records a violation that was detected elsewhere. */
  void recordViolation(String text) {
    reportedViolations.add(text);
  }

  /** Returns whether a status guarantees that the request was not and will not be executed. */
  static boolean promisesNoExecution(int status) {
    return NOT_EXECUTED_STATUSES.contains(status);
  }

  /** Records that a request reached an endpoint some time after it had said that it leaves. */
  void recordLateArrival(String id) {
    lateArrivals.add(id);
  }

  /** Records that a request has a large body or response, for which its route gives more time. */
  void recordBulk(String id) {
    bulkIds.add(id);
  }

  /** Records that a daemon is told to stop. */
  void recordStop() {
    stopsNanos.add(System.nanoTime());
  }

  /**
   * Requires that each request is answered and that no request reaches an endpoint that has left,
   * as none of the run's faults is a reason to lose one.
   */
  void expectNoLoss() {
    losesNothing = true;
  }

  /** Returns the violations of what {@link #expectNoLoss} requires. */
  private List<String> losses() {
    List<String> losses = new ArrayList<>();
    if (!losesNothing) {
      return losses;
    }
    lateArrivals.forEach(id -> losses.add("was sent to an endpoint that had left: " + id));
    responses.forEach(
        (id, response) -> {
          SentRequest request = sent.get(id);
          if (request == null) {
            // The connection could not be opened.
            return;
          }
          int status = response.status();
          boolean lost = status == 0 || !response.complete() || status > SERVER_ERROR;
          if (lost && status != REFUSED && !mayBeLost(request, response)) {
            losses.add("was lost, " + response + ": " + request);
          }
        });
    return losses;
  }

  /**
   * A stopping daemon closes connections; it cuts only what was sent to it late. Requests that last
   * until their timeout do not count, as that depends on the speed of the machine.
   */
  private boolean mayBeLost(SentRequest request, Response response) {
    long expiryNanos = bulkIds.contains(request.id()) ? BULK_EXPIRY_NANOS : EXPIRY_NANOS;
    if (responseNanos.get(request.id()) - request.sentNanos() > expiryNanos) {
      return true;
    }
    long cutAfterNanos = response.status() == OK ? STOP_RACE_NANOS : -STOP_RACE_NANOS;
    for (long stopNanos : stopsNanos) {
      long sinceStop = request.sentNanos() - stopNanos;
      if (sinceStop >= cutAfterNanos && sinceStop <= STOP_NANOS) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of responses by status; 0 stands for no response. */
  Map<Integer, Integer> statusCounts() {
    Map<Integer, Integer> counts = new TreeMap<>();
    responses.values().forEach(response -> counts.merge(response.status(), 1, Integer::sum));
    return counts;
  }

  /**
   * Returns the fraction of sound requests with valid keys sent since a time that got a complete
   * response with status 200.
   */
  double successRateSince(long nanos) {
    int total = 0;
    int succeeded = 0;
    for (SentRequest request : sent.values()) {
      Response response = responses.get(request.id());
      boolean sound = !request.id().startsWith(CRASHING);
      if (!sound || request.sentNanos() < nanos || response == null || request.mayBeRejected()) {
        continue;
      }
      total++;
      succeeded += response.status() == OK && response.complete() ? 1 : 0;
    }
    return total == 0 ? 0 : (double) succeeded / total;
  }

  /** Returns the number of executions of requests whose ids start with a prefix. */
  long executionCount(String idPrefix) {
    return executionCountSince(idPrefix, Long.MIN_VALUE);
  }

  /** Returns the number of these executions since a time. */
  long executionCountSince(String idPrefix, long nanos) {
    return executions.stream()
        .filter(execution -> execution.id().startsWith(idPrefix) && execution.atNanos() >= nanos)
        .count();
  }

  /** Returns all violations found so far. */
  List<String> violations() {
    List<String> violations = new ArrayList<>(reportedViolations);
    Set<String> executedIds = new HashSet<>();
    for (Execution execution : executions) {
      SentRequest request = sent.get(execution.id());
      if (request == null) {
        violations.add("executed a request that no caller sent: " + execution);
        continue;
      }
      boolean first = executedIds.add(execution.id());
      check(violations, first || request.repeatable(), "was executed more than once", request);
      check(
          violations,
          execution.service().equals(request.service()),
          "was executed by another service",
          request);
      check(
          violations,
          execution.account().equals(request.account()),
          "was executed for another account",
          request);
      check(violations, !execution.keyForwarded(), "was forwarded with the caller's key", request);
      check(violations, !request.mustBeRejected(), "was executed with a revoked key", request);
    }
    responses.forEach(
        (id, response) ->
            checkResponse(violations, sent.get(id), response, executedIds.contains(id)));
    violations.addAll(losses());
    return violations;
  }

  private static void checkResponse(
      List<String> violations, SentRequest request, Response response, boolean executed) {
    check(violations, response.fault().isEmpty(), response.fault(), request);
    boolean notExecuted = promisesNoExecution(response.status());
    check(
        violations,
        !notExecuted || !executed || request.repeatable(),
        "was answered " + response.status() + " although it was executed",
        request);
    check(
        violations,
        !REJECTION_STATUSES.contains(response.status()) || request.mayBeRejected(),
        "was rejected with " + response.status(),
        request);
  }

  private static void check(
      List<String> violations, boolean holds, String fault, SentRequest request) {
    if (!holds) {
      violations.add(fault + ": " + request);
    }
  }
}
