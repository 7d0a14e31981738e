package org.heatherspread.bench.caller;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Puts an answer together from the events of one or more streams.
 *
 * <p>Not safe for use by several threads.
 */
final class StreamAssembler {
  private final StringBuilder text = new StringBuilder();
  private String lastEventId = "0";
  private boolean complete;
  private ProblemDetails error;

  /** Takes an event; returns whether it brought text. */
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

  /** Returns and forgets the error that ended the last stream; null if there was none. */
  ProblemDetails pollError() {
    ProblemDetails last = error;
    error = null;
    return last;
  }
}
