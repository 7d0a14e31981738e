package org.heatherspread.bench.caller;

import java.io.IOException;
import java.io.InputStream;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/**
 * Makes chat completions: sends one until a daemon accepts it, and resumes its stream by request id
 * and last event id until it is whole or the time is over.
 *
 * <p>Safe for use by any thread.
 */
final class ChatCaller implements Caller {
  private static final Duration HEADERS_TIMEOUT = Duration.ofSeconds(8);
  private static final long GIVE_UP_MILLIS = 45_000;
  private static final long PAUSE_MILLIS = 100;

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
    String id = accept(progress, answer);
    if (id == null) {
      return progress.toReport(CallReport.Outcome.REFUSED);
    }
    for (int i = 0; !answer.isComplete(); i++) {
      ProblemDetails error = answer.pollError();
      if (error != null) {
        progress.recordError(error.kind());
      }
      boolean over = progress.elapsedMillis() > GIVE_UP_MILLIS;
      if (over || error != null && error.isPermanent()) {
        return progress.toReport(CallReport.Outcome.LOST);
      }
      resume(id, i, progress, answer);
    }
    boolean right = answer.text().equals(spec.expectedAnswer());
    return progress.toReport(right ? CallReport.Outcome.ANSWERED : CallReport.Outcome.WRONG);
  }

  // ---- Acceptance ----

  /** Sends the request until it is accepted and reads its first stream; returns its id. */
  private String accept(CallProgress progress, StreamAssembler answer) {
    String body = ChatRequestBody.toJson(progress.spec());
    for (int i = 0; progress.elapsedMillis() < GIVE_UP_MILLIS; i++) {
      List<AddressCache.Address> addresses = addressCache.addresses();
      String url = addresses.get(i % addresses.size()).url();
      progress.recordTry();
      try {
        HttpResponse<InputStream> response =
            httpClient.openStream(
                "POST", url + "/v1/chat/completions", body, Map.of(), HEADERS_TIMEOUT);
        if (response.statusCode() == 200) {
          String id = CallerHttpClient.firstHeader(response, "X-Request-Id");
          progress.addRequestId(id);
          read(response, progress, answer);
          return id;
        }
        if (refused(response, progress)) {
          return null;
        }
      } catch (IOException e) {
        // Without headers the request was not accepted, and a completion may be sent again.
        progress.recordError(e.toString());
        addressCache.invalidate();
        pause(PAUSE_MILLIS);
      }
    }
    return null;
  }

  /** Takes an error in place of an answer; returns whether there is no sense in going on. */
  private boolean refused(HttpResponse<InputStream> response, CallProgress progress)
      throws IOException {
    ProblemDetails problem = problem(response);
    progress.recordError(problem.kind());
    if (problem.isNotRun()) {
      progress.addNotRunId(problem.requestId());
    }
    if (problem.isPermanent()) {
      return true;
    }
    if (problem.retry().equals("elsewhere")) {
      addressCache.invalidate();
      pause(PAUSE_MILLIS);
    } else {
      pause(problem.retryAfterMillis());
    }
    return false;
  }

  private static ProblemDetails problem(HttpResponse<InputStream> response) throws IOException {
    try (InputStream body = response.body()) {
      return ProblemDetails.parse(
          response, new String(body.readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  // ---- Stream ----

  private static void read(
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

  private void resume(String id, int turn, CallProgress progress, StreamAssembler answer) {
    if (turn > 0) {
      pause(PAUSE_MILLIS);
    }
    addressCache.invalidate();
    List<AddressCache.Address> addresses = addressCache.addresses();
    String url = addresses.get(turn % addresses.size()).url();
    progress.recordResume();
    try {
      HttpResponse<InputStream> response =
          httpClient.openStream(
              "GET",
              url + "/v1/requests/" + id + "/stream",
              "",
              Map.of("Last-Event-ID", answer.lastEventId()),
              HEADERS_TIMEOUT);
      if (response.statusCode() == 200) {
        read(response, progress, answer);
      } else {
        progress.recordError("resume: " + problem(response).kind());
      }
    } catch (IOException e) {
      progress.recordError("resume: " + e);
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
