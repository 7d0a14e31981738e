package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Assembles the text of a completion from the events of one or more streams.
 *
 * <p>Not thread-safe.
 */
final class StreamAssembler {
  private final StringBuilder text = new StringBuilder();
  private String lastEventId = "0";
  private boolean complete;
  private ProblemDetails error;

  /** Processes an event; returns whether it contained text. */
  boolean append(ServerSentEventReader.Event event) throws IOException {
    if (event.data().equals("[DONE]")) {
      complete = true;
      return false;
    }
    JsonNode chunk = CallerHttpClient.parseJson(event.data());
    JsonNode failure = chunk.path("error");
    if (failure.isObject()) {
      error =
          new ProblemDetails(
              failure.path("type").asText(),
              failure.path("execution").asText(),
              failure.path("retry").asText(),
              failure.path("request_id").asText(),
              0);
      return false;
    }
    String token = chunk.path("choices").path(0).path("delta").path("content").asText("");
    text.append(token);
    if (!event.id().isEmpty()) {
      lastEventId = event.id();
    }
    return !token.isEmpty();
  }

  String text() {
    return text.toString();
  }

  String lastEventId() {
    return lastEventId;
  }

  boolean isComplete() {
    return complete;
  }

  /** Returns and clears the error that ended the last stream, or null if there was none. */
  ProblemDetails pollError() {
    ProblemDetails last = error;
    error = null;
    return last;
  }
}
