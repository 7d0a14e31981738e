package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpResponse;

/**
 * The problem details of an error response, as section 1 of docs/INTERFACES.md defines them.
 * Immutable.
 *
 * @param kind the error kind
 * @param execution {@code not_run}, {@code unknown} or {@code ran}
 * @param retry {@code never}, {@code after_delay}, {@code elsewhere} or {@code ask_outcome}
 * @param requestId id of the request, or empty
 * @param retryAfterMillis delay before a retry
 */
record ProblemDetails(
    String kind, String execution, String retry, String requestId, long retryAfterMillis) {
  private static final long DEFAULT_RETRY_AFTER_MILLIS = 250;
  private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

  static ProblemDetails parse(HttpResponse<?> response, String body) {
    long retryAfterMillis = DEFAULT_RETRY_AFTER_MILLIS;
    String header = CallerHttpClient.firstHeader(response, "Retry-After");
    if (header.matches("\\d+")) {
      retryAfterMillis = Math.min(MAX_RETRY_AFTER_MILLIS, Long.parseLong(header) * 1_000);
    }
    try {
      JsonNode json = CallerHttpClient.parseJson(body);
      String requestId = json.path("request_id").asText("");
      return new ProblemDetails(
          json.path("kind").asText(response.statusCode() + ""),
          json.path("execution").asText("unknown"),
          json.path("retry").asText("never"),
          requestId.isEmpty() ? CallerHttpClient.firstHeader(response, "X-Request-Id") : requestId,
          retryAfterMillis);
    } catch (IOException e) {
      return new ProblemDetails(
          "status-" + response.statusCode(), "unknown", "never", "", retryAfterMillis);
    }
  }

  boolean isNotRun() {
    return execution.equals("not_run");
  }

  boolean isPermanent() {
    return retry.equals("never");
  }
}
