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

  private final CallerHttpClient httpClient;
  private final AddressCache addressCache;

  PlainCaller(CallerHttpClient httpClient, AddressCache addressCache) {
    this.httpClient = httpClient;
    this.addressCache = addressCache;
  }

  /** The right under which a write is sent, and where it goes first. Immutable. */
  private record RequestIdentity(Map<String, String> headers, String requestId, String firstUrl) {}

  @Override
  public CallReport call(CallSpec spec) {
    CallProgress progress = new CallProgress(spec);
    boolean toldUnknown = false;
    while (progress.elapsedMillis() < GIVE_UP_MILLIS) {
      RequestIdentity ticket = ticket(spec);
      progress.addRequestId(ticket.requestId());
      Optional<CallReport.Outcome> end = follow(ticket, progress);
      if (end.isPresent() && end.get() != CallReport.Outcome.NOT_RUN) {
        return progress.toReport(end.get());
      }
      toldUnknown = end.isEmpty();
      if (toldUnknown && spec.kind().isAtMostOnce()) {
        return progress.toReport(CallReport.Outcome.UNKNOWN);
      }
    }
    return progress.toReport(
        spec.kind().isAtMostOnce() ? CallReport.Outcome.NOT_RUN : CallReport.Outcome.REFUSED);
  }

  private RequestIdentity ticket(CallSpec spec) {
    if (spec.kind() == CallSpec.Kind.WRITE_PERMIT) {
      Optional<AddressCache.Permit> permit = addressCache.takePermit();
      if (permit.isPresent()) {
        return new RequestIdentity(
            Map.of("X-Execution-Permit", permit.get().text()),
            permit.get().requestId(),
            addressCache.findUrl(permit.get().owner()).orElse(""));
      }
    }
    if (spec.kind().isAtMostOnce()) {
      return new RequestIdentity(Map.of("Idempotency-Key", UUID.randomUUID().toString()), "", "");
    }
    return new RequestIdentity(Map.of(), "", "");
  }

  /** Sends under one ticket until the outcome is known; empty if it never became known. */
  private Optional<CallReport.Outcome> follow(RequestIdentity ticket, CallProgress progress) {
    boolean onlyNotSent = true;
    boolean toldUnknown = false;
    for (int i = 0; progress.elapsedMillis() < GIVE_UP_MILLIS; i++) {
      try {
        HttpResponse<String> answer = send(ticket, i, progress);
        if (answer.statusCode() < 300) {
          return Optional.of(check(answer, progress));
        }
        ProblemDetails problem = ProblemDetails.parse(answer, answer.body());
        progress.recordError(problem.kind());
        progress.addRequestId(problem.requestId());
        if (problem.isNotRun() && !toldElsewhere(problem, ticket, onlyNotSent)) {
          progress.addNotRunId(
              ticket.requestId().isEmpty() ? problem.requestId() : ticket.requestId());
          if (problem.isPermanent() && !problem.kind().equals(CLOSED)) {
            return Optional.of(CallReport.Outcome.REFUSED);
          }
          pause(problem.retryAfterMillis());
          return Optional.of(CallReport.Outcome.NOT_RUN);
        }
        toldUnknown = problem.execution().equals("unknown");
        if (toldUnknown && problem.isPermanent()) {
          return Optional.empty();
        }
      } catch (IOException e) {
        onlyNotSent &= CallerHttpClient.isConnectFailure(e);
        progress.recordError(e.toString());
      }
      addressCache.invalidate();
      pause(PAUSE_MILLIS);
    }
    return onlyNotSent && !toldUnknown ? Optional.of(CallReport.Outcome.NOT_RUN) : Optional.empty();
  }

  /**
   * Tells whether "not run" speaks only of this try: a daemon that takes no work says nothing of an
   * earlier try under the same permit or key whose answer never came.
   */
  private static boolean toldElsewhere(
      ProblemDetails problem, RequestIdentity ticket, boolean onlyNotSent) {
    boolean aboutThisTry =
        problem.retry().equals("elsewhere") || problem.retry().equals("after_delay");
    return !ticket.headers().isEmpty() && aboutThisTry && !onlyNotSent;
  }

  private HttpResponse<String> send(RequestIdentity ticket, int turn, CallProgress progress)
      throws IOException {
    CallSpec spec = progress.spec();
    List<AddressCache.Address> addresses = addressCache.addresses();
    String url = addresses.get(turn % addresses.size()).url();
    if (turn == 0 && !ticket.firstUrl().isEmpty()) {
      url = ticket.firstUrl();
    }
    progress.recordTry();
    return httpClient.send(
        spec.method(),
        url + "/v1/services/" + spec.service() + spec.path(),
        spec.body(),
        ticket.headers(),
        TIMEOUT);
  }

  private static CallReport.Outcome check(HttpResponse<String> answer, CallProgress progress) {
    progress.addRequestId(CallerHttpClient.firstHeader(answer, "X-Request-Id"));
    progress.recordFirstToken();
    boolean right = answer.body().equals(progress.spec().expectedAnswer());
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
