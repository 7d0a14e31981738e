package org.heatherspread.bench.caller;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/**
 * Makes plain calls. A read is sent until it is answered. A write keeps its permit or key until the
 * caller is told that it did not run; only then it is sent under a new one.
 *
 * <p>Safe for use by any thread.
 */
final class PlainCaller implements Caller {
  private static final Duration TIMEOUT = Duration.ofSeconds(6);
  private static final long GIVE_UP_MILLIS = 30_000;
  private static final String CLOSED = "request-closed";
  private static final long PAUSE_MILLIS = 100;

  private final HttpCalls calls;
  private final AddressBook book;

  PlainCaller(HttpCalls calls, AddressBook book) {
    this.calls = calls;
    this.book = book;
  }

  /** The right under which a write is sent, and where it goes first. Immutable. */
  private record Ticket(Map<String, String> headers, String requestId, String firstUrl) {}

  @Override
  public CallReport call(CallPlan plan) {
    CallProgress progress = new CallProgress(plan);
    boolean toldUnknown = false;
    while (progress.elapsedMillis() < GIVE_UP_MILLIS) {
      Ticket ticket = ticket(plan);
      progress.knownAs(ticket.requestId());
      Optional<CallReport.Outcome> end = follow(ticket, progress);
      if (end.isPresent() && end.get() != CallReport.Outcome.NOT_RUN) {
        return progress.end(end.get());
      }
      toldUnknown = end.isEmpty();
      if (toldUnknown && plan.kind().once()) {
        return progress.end(CallReport.Outcome.UNKNOWN);
      }
    }
    return progress.end(
        plan.kind().once() ? CallReport.Outcome.NOT_RUN : CallReport.Outcome.REFUSED);
  }

  private Ticket ticket(CallPlan plan) {
    if (plan.kind() == CallPlan.Kind.WRITE_PERMIT) {
      Optional<AddressBook.Permit> permit = book.permit();
      if (permit.isPresent()) {
        return new Ticket(
            Map.of("X-Execution-Permit", permit.get().text()),
            permit.get().requestId(),
            book.url(permit.get().owner()).orElse(""));
      }
    }
    if (plan.kind().once()) {
      return new Ticket(Map.of("Idempotency-Key", UUID.randomUUID().toString()), "", "");
    }
    return new Ticket(Map.of(), "", "");
  }

  /** Sends under one ticket until the outcome is known; empty if it never became known. */
  private Optional<CallReport.Outcome> follow(Ticket ticket, CallProgress progress) {
    boolean onlyNotSent = true;
    boolean toldUnknown = false;
    for (int i = 0; progress.elapsedMillis() < GIVE_UP_MILLIS; i++) {
      try {
        HttpResponse<String> answer = send(ticket, i, progress);
        if (answer.statusCode() < 300) {
          return Optional.of(check(answer, progress));
        }
        Problem problem = Problem.of(answer, answer.body());
        progress.failed(problem.kind());
        progress.knownAs(problem.requestId());
        if (problem.notRun() && !toldElsewhere(problem, ticket, onlyNotSent)) {
          progress.toldNotRun(
              ticket.requestId().isEmpty() ? problem.requestId() : ticket.requestId());
          if (problem.permanent() && !problem.kind().equals(CLOSED)) {
            return Optional.of(CallReport.Outcome.REFUSED);
          }
          pause(problem.retryAfterMillis());
          return Optional.of(CallReport.Outcome.NOT_RUN);
        }
        toldUnknown = problem.execution().equals("unknown");
        if (toldUnknown && problem.permanent()) {
          return Optional.empty();
        }
      } catch (IOException e) {
        onlyNotSent &= HttpCalls.neverSent(e);
        progress.failed(e.toString());
      }
      book.distrust();
      pause(PAUSE_MILLIS);
    }
    return onlyNotSent && !toldUnknown ? Optional.of(CallReport.Outcome.NOT_RUN) : Optional.empty();
  }

  /**
   * Tells whether "not run" speaks only of this try: a daemon that takes no work says nothing of an
   * earlier try under the same permit or key whose answer never came.
   */
  private static boolean toldElsewhere(Problem problem, Ticket ticket, boolean onlyNotSent) {
    boolean aboutThisTry =
        problem.retry().equals("elsewhere") || problem.retry().equals("after_delay");
    return !ticket.headers().isEmpty() && aboutThisTry && !onlyNotSent;
  }

  private HttpResponse<String> send(Ticket ticket, int turn, CallProgress progress)
      throws IOException {
    CallPlan plan = progress.plan();
    List<AddressBook.Address> addresses = book.addresses();
    String url = addresses.get(turn % addresses.size()).url();
    if (turn == 0 && !ticket.firstUrl().isEmpty()) {
      url = ticket.firstUrl();
    }
    progress.sent();
    return calls.call(
        plan.method(),
        url + "/v1/services/" + plan.service() + plan.path(),
        plan.body(),
        ticket.headers(),
        TIMEOUT);
  }

  private static CallReport.Outcome check(HttpResponse<String> answer, CallProgress progress) {
    progress.knownAs(HttpCalls.header(answer, "X-Request-Id"));
    progress.firstToken();
    boolean right = answer.body().equals(progress.plan().answer());
    return right ? CallReport.Outcome.ANSWERED : CallReport.Outcome.WRONG;
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
