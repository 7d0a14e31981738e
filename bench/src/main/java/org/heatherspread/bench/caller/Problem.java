package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;

/**
 * An error as section 1 of docs/INTERFACES.md writes it. Immutable.
 *
 * @param kind the error kind
 * @param execution {@code not_run}, {@code unknown} or {@code ran}
 * @param retry {@code never}, {@code after_delay}, {@code elsewhere} or {@code ask_outcome}
 * @param requestId id of the request, or empty
 * @param retryAfterMillis when to come back
 */
record Problem(
    String kind, String execution, String retry, String requestId, long retryAfterMillis) {
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 250;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  static Problem of(HttpResponse<?> answer, String body) {
    long after = DEFAULT_RETRY_AFTER_MILLIS;
    String header = HttpCalls.header(answer, "Retry-After");
    if (header.matches("\\d+")) {
      after = Math.min(MAX_RETRY_AFTER_MILLIS, Long.parseLong(header) * 1_000);
    }
    try {
      JsonNode json = HttpCalls.json(body);
      String id = json.path("request_id").asText("");
      return new Problem(
          json.path("kind").asText(answer.statusCode() + ""),
          json.path("execution").asText("unknown"),
          json.path("retry").asText("never"),
          id.isEmpty() ? HttpCalls.header(answer, "X-Request-Id") : id,
          after);
    } catch (IOException e) {
      return new Problem("status-" + answer.statusCode(), "unknown", "never", "", after);
    }
  }

  boolean notRun() {
    return execution.equals("not_run");
  }

  boolean permanent() {
    return retry.equals("never");
  }
}
