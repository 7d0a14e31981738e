package org.heatherspread.relay.call;

import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.heatherspread.relay.call.ModelEndpoints.Execution;

/**
 * Checks of what the callers of one play receive against the executions at its endpoints.
 * Thread-safe.
 */
final class ModelChecks {
  private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);

  private final ModelEndpoints model;
  private final ModelPlays.Outcomes outcomes;
  private final Queue<String> violations = new ConcurrentLinkedQueue<>();

  ModelChecks(ModelEndpoints model, ModelPlays.Outcomes outcomes) {
    this.model = model;
    this.outcomes = outcomes;
  }

  /** Returns the violations so far. */
  List<String> violations() {
    return List.copyOf(violations);
  }

  /** Records that a caller received no response in time. */
  void recordTimeout(List<ModelRequest> sent) {
    violations.add("no answer in time: " + sent);
  }

  private void violate(String rule, ModelRequest sent, CallerResponse received) {
    outcomes.count("violation " + rule.replaceAll("\\d+", "N"));
    violations.add(
        rule
            + ": "
            + sent
            + "\n  received "
            + String.valueOf(received).replace("\n", "\\n").replace("\r", "\\r")
            + "\n  of executions "
            + model.executions(sent)
            + "\n  among "
            + model.executions(sent.id()));
  }

  /** Checks a response as soon as the caller has received it. */
  void check(ModelRequest sent, CallerResponse received) {
    List<Execution> executions = model.executions(sent);
    long executed = executions.stream().filter(Execution::executed).count();
    if (!sent.isRepeatable() && executed > 1) {
      violate("MIXED executed more than once", sent, received);
    }
    String signature = received.headers().get("server-signature");
    boolean success = received.status() / 100 == 2;
    if (signature == null) {
      outcomes.count("own failure " + received.status());
      checkFailure(sent, received, success, executed);
      return;
    }
    if (!success || sent.route().equals("/read/") || sent.route().equals("/write/")) {
      outcomes.count("answer " + received.status());
      checkAnswer(sent, received, signature, executions);
      return;
    }
    if (received.status() != 200) {
      checkAnswer(sent, received, signature, executions);
      return;
    }
    outcomes.count(received.whole() ? "stream" : "cut stream");
    checkStream(sent, received, executions);
  }

  private void checkFailure(
      ModelRequest sent, CallerResponse received, boolean success, long executed) {
    if (success || !received.whole()) {
      violate("MIXED success or part of a failure without a signature", sent, received);
    }
    boolean promisesNoRun =
        received.status() == 503 || received.status() == 429 || received.status() == 408;
    if (promisesNoRun && executed > 0 && !sent.isRepeatable()) {
      violate("MIXED not run after a run", sent, received);
    }
  }

  private void checkAnswer(
      ModelRequest sent, CallerResponse received, String signature, List<Execution> executions) {
    boolean isHead = sent.isHead();
    for (Execution execution : executions) {
      if (!execution.signature().equals(signature)) {
        continue;
      }
      if (execution.status() != received.status()) {
        violate("MIXED status " + execution.status() + " was answered", sent, received);
      }
      String body = isHead ? "" : execution.body();
      boolean isPrefix = body.startsWith(received.body());
      if (!isPrefix || (received.whole() && received.body().length() < body.length())) {
        violate("MIXED body", sent, received);
      }
      return;
    }
    violate("MIXED answer of no execution", sent, received);
  }

  private void checkStream(ModelRequest sent, CallerResponse received, List<Execution> executions) {
    int next = Math.max(0, sent.resumeAfter()) + 1;
    int lastNumber = 0;
    int end = received.body().lastIndexOf("\n\n") + 2;
    String events = end < 2 ? "" : received.body().substring(0, end);
    if (end < 2 ? !received.body().isEmpty() : end < received.body().length()) {
      violate("ORDER part of an event", sent, received);
    }
    for (String event : events.isEmpty() ? new String[0] : events.split("\n\n")) {
      String prefix = "id: " + next + "\ndata: " + sent.id() + '/';
      String suffix = "/" + next;
      boolean isNext = event.startsWith(prefix) && event.endsWith(suffix);
      String middle =
          isNext ? event.substring(prefix.length(), event.length() - suffix.length()) : "";
      if (!middle.matches("\\d+")
          || Integer.parseInt(middle) < lastNumber
          || find(executions, Integer.parseInt(middle)).isEmpty()) {
        violate("ORDER event " + next + " is not next", sent, received);
        return;
      }
      lastNumber = Integer.parseInt(middle);
      next++;
    }
    if (!received.whole()) {
      return;
    }
    if (events.isEmpty() || !isEnd(executions, lastNumber, next - 1)) {
      violate("ORDER cut stream ends as if complete", sent, received);
    }
  }

  /**
   * Checks an attempt once nothing of it can be under way: a request that is not repeatable runs
   * once at most, and not at all if its caller received a promise that it does not.
   *
   * @param received what the caller received, null if it received no response
   */
  void checkEnded(ModelRequest sent, CallerResponse received) {
    long executed = model.executions(sent).stream().filter(Execution::executed).count();
    if (sent.isRepeatable()) {
      return;
    }
    if (executed > 1) {
      violate("TWICE executed more than once", sent, received);
    }
    if (received != null && NOT_EXECUTED_STATUSES.contains(received.status()) && executed > 0) {
      violate("REFUSED executed though refused", sent, received);
    }
  }

  private static Optional<Execution> find(List<Execution> executions, int number) {
    return executions.stream().filter(execution -> execution.number() == number).findFirst();
  }

  /** Returns whether an event is the last one of a complete stream. */
  private static boolean isEnd(List<Execution> executions, int number, int event) {
    List<Integer> events =
        find(executions, number)
            .filter(Execution::endsWhole)
            .map(Execution::eventIds)
            .orElse(List.of());
    return !events.isEmpty() && events.get(events.size() - 1) == event;
  }
}
