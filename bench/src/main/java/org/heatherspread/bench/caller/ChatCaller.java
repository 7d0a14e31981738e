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

  private final HttpCalls calls;
  private final AddressBook book;

  ChatCaller(HttpCalls calls, AddressBook book) {
    this.calls = calls;
    this.book = book;
  }

  @Override
  public CallReport call(CallPlan plan) {
    CallProgress progress = new CallProgress(plan);
    StreamText answer = new StreamText();
    String id = accept(progress, answer);
    if (id == null) {
      return progress.end(CallReport.Outcome.REFUSED);
    }
    for (int i = 0; !answer.whole(); i++) {
      Problem error = answer.takeError();
      if (error != null) {
        progress.failed(error.kind());
      }
      boolean over = progress.elapsedMillis() > GIVE_UP_MILLIS;
      if (over || error != null && error.permanent()) {
        return progress.end(CallReport.Outcome.LOST);
      }
      resume(id, i, progress, answer);
    }
    boolean right = answer.text().equals(plan.answer());
    return progress.end(right ? CallReport.Outcome.ANSWERED : CallReport.Outcome.WRONG);
  }

  // ---- Acceptance ----

  /** Sends the request until it is accepted and reads its first stream; returns its id. */
  private String accept(CallProgress progress, StreamText answer) {
    String body = ChatBody.of(progress.plan());
    for (int i = 0; progress.elapsedMillis() < GIVE_UP_MILLIS; i++) {
      List<AddressBook.Address> addresses = book.addresses();
      String url = addresses.get(i % addresses.size()).url();
      progress.sent();
      try {
        HttpResponse<InputStream> response =
            calls.open("POST", url + "/v1/chat/completions", body, Map.of(), HEADERS_TIMEOUT);
        if (response.statusCode() == 200) {
          String id = HttpCalls.header(response, "X-Request-Id");
          progress.knownAs(id);
          read(response, progress, answer);
          return id;
        }
        if (refused(response, progress)) {
          return null;
        }
      } catch (IOException e) {
        // Without headers the request was not accepted, and a completion may be sent again.
        progress.failed(e.toString());
        book.distrust();
        pause(PAUSE_MILLIS);
      }
    }
    return null;
  }

  /** Takes an error in place of an answer; returns whether there is no sense in going on. */
  private boolean refused(HttpResponse<InputStream> response, CallProgress progress)
      throws IOException {
    Problem problem = problem(response);
    progress.failed(problem.kind());
    if (problem.notRun()) {
      progress.toldNotRun(problem.requestId());
    }
    if (problem.permanent()) {
      return true;
    }
    if (problem.retry().equals("elsewhere")) {
      book.distrust();
      pause(PAUSE_MILLIS);
    } else {
      pause(problem.retryAfterMillis());
    }
    return false;
  }

  private static Problem problem(HttpResponse<InputStream> response) throws IOException {
    try (InputStream body = response.body()) {
      return Problem.of(response, new String(body.readAllBytes(), StandardCharsets.UTF_8));
    }
  }

  // ---- Stream ----

  private static void read(
      HttpResponse<InputStream> response, CallProgress progress, StreamText answer) {
    try (EventStream events = new EventStream(response.body())) {
      EventStream.Event event = events.next();
      while (event != null) {
        if (answer.take(event)) {
          progress.firstToken();
        }
        event = events.next();
      }
    } catch (IOException e) {
      progress.failed(e.toString());
    }
  }

  private void resume(String id, int turn, CallProgress progress, StreamText answer) {
    if (turn > 0) {
      pause(PAUSE_MILLIS);
    }
    book.distrust();
    List<AddressBook.Address> addresses = book.addresses();
    String url = addresses.get(turn % addresses.size()).url();
    progress.resumed();
    try {
      HttpResponse<InputStream> response =
          calls.open(
              "GET",
              url + "/v1/requests/" + id + "/stream",
              "",
              Map.of("Last-Event-ID", answer.lastEventId()),
              HEADERS_TIMEOUT);
      if (response.statusCode() == 200) {
        read(response, progress, answer);
      } else {
        progress.failed("resume: " + problem(response).kind());
      }
    } catch (IOException e) {
      progress.failed("resume: " + e);
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
