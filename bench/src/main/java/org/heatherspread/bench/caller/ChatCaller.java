package org.heatherspread.bench.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Makes chat completions. A request is sent until a daemon accepts it; its stream is then resumed
 * by request id and last event id until the answer is complete or the call times out.
 *
 * <p>Thread-safe.
 */
final class ChatCaller implements Caller {
  private static final Duration HEADERS_TIMEOUT = Duration.ofSeconds(8);
  private static final long CALL_TIMEOUT_MILLIS = 45_000;
  private static final long RETRY_DELAY_MILLIS = 100;

  private final CallerHttpClient httpClient;
  private final AddressCache addressCache;

  ChatCaller(CallerHttpClient httpClient, AddressCache addressCache) {
    this.httpClient = httpClient;
    this.addressCache = addressCache;
  }

  @Override
  public CallReport call(CallSpec spec) {
    CallProgress progress = new CallProgress(spec);
    StreamAssembler answer = new StreamAssembler();
    String requestId = sendUntilAccepted(progress, answer);
    if (requestId == null) {
      return progress.toReport(CallReport.Outcome.REFUSED);
    }
    for (int i = 0; !answer.isComplete(); i++) {
      ProblemDetails error = answer.pollError();
      if (error != null) {
        progress.recordError(error.kind());
      }
      boolean timedOut = progress.elapsedMillis() > CALL_TIMEOUT_MILLIS;
      if (timedOut || error != null && error.isPermanent()) {
        return progress.toReport(CallReport.Outcome.LOST);
      }
      resume(requestId, i, progress, answer);
    }
    boolean correct = answer.text().equals(spec.expectedAnswer());
    return progress.toReport(correct ? CallReport.Outcome.ANSWERED : CallReport.Outcome.WRONG);
  }

  /**
   * Sends the request until it is accepted, then reads its first stream; returns the request id, or
   * null if it was not accepted.
   */
  private String sendUntilAccepted(CallProgress progress, StreamAssembler answer) {
    String body = ChatRequestBody.toJson(progress.spec());
    for (int i = 0; progress.elapsedMillis() < CALL_TIMEOUT_MILLIS; i++) {
      List<AddressCache.Address> addresses = addressCache.addresses();
      String url = addresses.get(i % addresses.size()).url();
      progress.recordTry();
      try {
        HttpResponse<InputStream> response =
            httpClient.openStream(
                "POST", url + "/v1/chat/completions", body, Map.of(), HEADERS_TIMEOUT);
        if (response.statusCode() == 200) {
          String requestId = CallerHttpClient.firstHeader(response, "X-Request-Id");
          progress.addRequestId(requestId);
          readStream(response, progress, answer);
          return requestId;
        }
        if (handleProblem(response, progress)) {
          return null;
        }
      } catch (IOException e) {
        // Without response headers the request was not accepted; a completion is safe to resend.
        progress.recordError(e.toString());
        addressCache.invalidate();
        sleep(RETRY_DELAY_MILLIS);
      }
    }
    return null;
  }

  /** Records an error response and waits as it advises; returns whether to give up. */
  private boolean handleProblem(HttpResponse<InputStream> response, CallProgress progress)
      throws IOException {
    ProblemDetails problem = readProblem(response);
    progress.recordError(problem.kind());
    if (problem.isNotRun()) {
      progress.addNotRunId(problem.requestId());
    }
    if (problem.isPermanent()) {
      return true;
    }
    if (problem.retry().equals("elsewhere")) {
      addressCache.invalidate();
      sleep(RETRY_DELAY_MILLIS);
    } else {
      sleep(problem.retryAfterMillis());
    }
    return false;
  }

  private static ProblemDetails readProblem(HttpResponse<InputStream> response) throws IOException {
    try (InputStream body = response.body()) {
      return ProblemDetails.parse(
          response, new String(body.readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  private static void readStream(
      HttpResponse<InputStream> response, CallProgress progress, StreamAssembler answer) {
    try (ServerSentEventReader events = new ServerSentEventReader(response.body())) {
      ServerSentEventReader.Event event = events.readEvent();
      while (event != null) {
        if (answer.append(event)) {
          progress.recordFirstToken();
        }
        event = events.readEvent();
      }
    } catch (IOException e) {
      progress.recordError(e.toString());
    }
  }

  private void resume(
      String requestId, int attempt, CallProgress progress, StreamAssembler answer) {
    if (attempt > 0) {
      sleep(RETRY_DELAY_MILLIS);
    }
    addressCache.invalidate();
    List<AddressCache.Address> addresses = addressCache.addresses();
    String url = addresses.get(attempt % addresses.size()).url();
    progress.recordResume();
    try {
      HttpResponse<InputStream> response =
          httpClient.openStream(
              "GET",
              url + "/v1/requests/" + requestId + "/stream",
              "",
              Map.of("Last-Event-ID", answer.lastEventId()),
              HEADERS_TIMEOUT);
      if (response.statusCode() == 200) {
        readStream(response, progress, answer);
      } else {
        progress.recordError("resume: " + readProblem(response).kind());
      }
    } catch (IOException e) {
      progress.recordError("resume: " + e);
    }
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
