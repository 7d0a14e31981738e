package org.heatherspread.bench.caller;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;

/**
 * Makes calls to plain services. A read is resent until it is answered. A write keeps its permit or
 * idempotency key until it is reported as not run; only then is it sent under a new one, so that it
 * cannot run twice.
 *
 * <p>Thread-safe.
 */
final class PlainCaller implements Caller {
  private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(6);
  private static final long CALL_TIMEOUT_MILLIS = 30_000;
  private static final String REQUEST_CLOSED_KIND = "request-closed";
  private static final long RETRY_DELAY_MILLIS = 100;

  private final CallerHttpClient httpClient;
  private final AddressCache addressCache;

  PlainCaller(CallerHttpClient httpClient, AddressCache addressCache) {
    this.httpClient = httpClient;
    this.addressCache = addressCache;
  }

  /**
   * The headers that identify all attempts of a write as one call, its request id if known, and the
   * URL to try first. A read has no such headers. Immutable.
   */
  private record RequestIdentity(Map<String, String> headers, String requestId, String firstUrl) {}

  @Override
  public CallReport call(CallSpec spec) {
    CallProgress progress = new CallProgress(spec);
    boolean outcomeUnknown = false;
    while (progress.elapsedMillis() < CALL_TIMEOUT_MILLIS) {
      RequestIdentity identity = createIdentity(spec);
      progress.addRequestId(identity.requestId());
      Optional<CallReport.Outcome> outcome = sendUntilResolved(identity, progress);
      if (outcome.isPresent() && outcome.get() != CallReport.Outcome.NOT_RUN) {
        return progress.toReport(outcome.get());
      }
      outcomeUnknown = outcome.isEmpty();
      if (outcomeUnknown && spec.kind().isAtMostOnce()) {
        return progress.toReport(CallReport.Outcome.UNKNOWN);
      }
    }
    return progress.toReport(
        spec.kind().isAtMostOnce() ? CallReport.Outcome.NOT_RUN : CallReport.Outcome.REFUSED);
  }

  private RequestIdentity createIdentity(CallSpec spec) {
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

  /** Sends a request under one identity until its outcome is known; empty if it stays unknown. */
  private Optional<CallReport.Outcome> sendUntilResolved(
      RequestIdentity identity, CallProgress progress) {
    boolean noAttemptSent = true;
    boolean reportedUnknown = false;
    for (int i = 0; progress.elapsedMillis() < CALL_TIMEOUT_MILLIS; i++) {
      try {
        HttpResponse<String> response = send(identity, i, progress);
        if (response.statusCode() < 300) {
          return Optional.of(checkAnswer(response, progress));
        }
        ProblemDetails problem = ProblemDetails.parse(response, response.body());
        progress.recordError(problem.kind());
        progress.addRequestId(problem.requestId());
        if (problem.isNotRun() && !coversThisAttemptOnly(problem, identity, noAttemptSent)) {
          progress.addNotRunId(
              identity.requestId().isEmpty() ? problem.requestId() : identity.requestId());
          if (problem.isPermanent() && !problem.kind().equals(REQUEST_CLOSED_KIND)) {
            return Optional.of(CallReport.Outcome.REFUSED);
          }
          sleep(problem.retryAfterMillis());
          return Optional.of(CallReport.Outcome.NOT_RUN);
        }
        reportedUnknown = problem.execution().equals("unknown");
        if (reportedUnknown && problem.isPermanent()) {
          return Optional.empty();
        }
      } catch (IOException e) {
        noAttemptSent &= CallerHttpClient.isConnectFailure(e);
        progress.recordError(e.toString());
      }
      addressCache.invalidate();
      sleep(RETRY_DELAY_MILLIS);
    }
    return noAttemptSent && !reportedUnknown
        ? Optional.of(CallReport.Outcome.NOT_RUN)
        : Optional.empty();
  }

  /**
   * Returns whether "not run" covers only this attempt: a daemon that accepts no work does not know
   * the outcome of an earlier attempt under the same permit or key whose response was lost.
   */
  private static boolean coversThisAttemptOnly(
      ProblemDetails problem, RequestIdentity identity, boolean noAttemptSent) {
    boolean refusedByDaemon =
        problem.retry().equals("elsewhere") || problem.retry().equals("after_delay");
    return !identity.headers().isEmpty() && refusedByDaemon && !noAttemptSent;
  }

  private HttpResponse<String> send(RequestIdentity identity, int attempt, CallProgress progress)
      throws IOException {
    CallSpec spec = progress.spec();
    List<AddressCache.Address> addresses = addressCache.addresses();
    String url = addresses.get(attempt % addresses.size()).url();
    if (attempt == 0 && !identity.firstUrl().isEmpty()) {
      url = identity.firstUrl();
    }
    progress.recordTry();
    return httpClient.send(
        spec.method(),
        url + "/v1/services/" + spec.service() + spec.path(),
        spec.body(),
        identity.headers(),
        REQUEST_TIMEOUT);
  }

  private static CallReport.Outcome checkAnswer(
      HttpResponse<String> response, CallProgress progress) {
    progress.addRequestId(CallerHttpClient.firstHeader(response, "X-Request-Id"));
    progress.recordFirstToken();
    boolean correct = response.body().equals(progress.spec().expectedAnswer());
    return correct ? CallReport.Outcome.ANSWERED : CallReport.Outcome.WRONG;
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
