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
final class Ledger {
  /** Statuses that promise that a request did not run and never will. */
  private static final Set<Integer> NOT_RUN = Set.of(408, 421, 429, 503);

  /** Own statuses that no proper request may get. */
  private static final Set<Integer> DENIED = Set.of(400, 401, 403, 404, 413, 431);

  /**
   * Time in which a change of keys reaches daemons that are cut off from the store for a while, in
   * nanoseconds.
   */
  private static final long SETTLING_NANOS = 10_000_000_000L;

  private static final int OK = 200;

  private final Map<String, Sent> sent = new ConcurrentHashMap<>();
  private final Queue<Run> runs = new ConcurrentLinkedQueue<>();
  private final Queue<String> findings = new ConcurrentLinkedQueue<>();

  /**
   * A request as a caller sent it.
   *
   * @param service the service that its route leads to
   * @param account the account that holds its key
   * @param repeatable whether it may run more than once
   * @param key the key that it was sent with
   */
  record Sent(
      String id, String service, String account, boolean repeatable, long sentNanos, Keys.Key key) {
    /** Tells whether the key has to be refused. */
    boolean refusable() {
      return sentNanos >= key.refusedFromNanos();
    }

    /** Tells whether some daemon may rightly refuse the key: not known yet, or being taken away. */
    boolean deniable() {
      return sentNanos >= key.refusedFromNanos() - SETTLING_NANOS
          || sentNanos < key.addedNanos() + SETTLING_NANOS;
    }
  }

  /** A request as an endpoint began to run it. */
  record Run(String id, String service, String account, boolean keyPassedOn) {}

  /**
   * The end of a request as its caller saw it.
   *
   * @param status 0 if there was no answer
   * @param complete whether the answer looked complete
   * @param fault what was wrong with its body, empty if nothing
   */
  record Answer(int status, boolean complete, String fault) {}

  private final Map<String, Answer> answers = new ConcurrentHashMap<>();

  void sent(Sent request) {
    sent.put(request.id(), request);
  }

  void ran(Run run) {
    runs.add(run);
  }

  void answered(String id, Answer answer) {
    answers.put(id, answer);
  }

  /** Notes a broken promise that was seen elsewhere. */
  void finding(String text) {
    findings.add(text);
  }

  /** Returns how many answers had each status, 0 for none. */
  Map<Integer, Integer> statuses() {
    Map<Integer, Integer> statuses = new TreeMap<>();
    answers.values().forEach(answer -> statuses.merge(answer.status(), 1, Integer::sum));
    return statuses;
  }

  /** Returns the share of requests with good keys sent since a time that were answered in full. */
  double servedSince(long nanos) {
    int all = 0;
    int served = 0;
    for (Sent request : sent.values()) {
      Answer answer = answers.get(request.id());
      if (request.sentNanos() < nanos || answer == null || request.deniable()) {
        continue;
      }
      all++;
      served += answer.status() == OK && answer.complete() ? 1 : 0;
    }
    return all == 0 ? 0 : (double) served / all;
  }

  /** Returns every broken promise. */
  List<String> broken() {
    List<String> broken = new ArrayList<>(findings);
    Set<String> ran = new HashSet<>();
    for (Run run : runs) {
      Sent request = sent.get(run.id());
      if (request == null) {
        broken.add("ran a request that nobody sent: " + run);
        continue;
      }
      boolean first = ran.add(run.id());
      check(broken, first || request.repeatable(), "ran more than once", request);
      check(broken, run.service().equals(request.service()), "ran at another service", request);
      check(broken, run.account().equals(request.account()), "ran for another account", request);
      check(broken, !run.keyPassedOn(), "got its caller's key passed on", request);
      check(broken, !request.refusable(), "ran with a key revoked before", request);
    }
    answers.forEach((id, answer) -> checkAnswer(broken, sent.get(id), answer, ran.contains(id)));
    return broken;
  }

  private static void checkAnswer(List<String> broken, Sent request, Answer answer, boolean ran) {
    check(broken, answer.fault().isEmpty(), answer.fault(), request);
    boolean promised = NOT_RUN.contains(answer.status());
    check(
        broken,
        !promised || !ran || request.repeatable(),
        "was answered " + answer.status() + " although it ran",
        request);
    check(
        broken,
        !DENIED.contains(answer.status()) || request.deniable(),
        "was denied with " + answer.status(),
        request);
  }

  private static void check(List<String> broken, boolean holds, String fault, Sent request) {
    if (!holds) {
      broken.add(fault + ": " + request);
    }
  }
}
