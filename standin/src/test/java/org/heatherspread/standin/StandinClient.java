package org.heatherspread.standin;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.core.routing.PrefixHashes.Message;
import org.heatherspread.standin.answer.CompletionGenerator;
import org.heatherspread.standin.http.JsonHttp;

/**
 * Sends requests to a stand-in and blocks until the response is complete.
 *
 * <p>Thread-safe.
 */
final class StandinClient {
  private final HttpClient client = HttpClient.newHttpClient();
  private final String baseUrl;

  StandinClient(int port) {
    baseUrl = "http://127.0.0.1:" + port;
  }

  String baseUrl() {
    return baseUrl;
  }

  /** An event of a stream. */
  record Event(String id, String data) {
    String token() {
      JsonNode choice = JsonHttp.parse(data.getBytes(StandardCharsets.UTF_8)).path("choices");
      return choice.path(0).path("delta").path("content").asText("");
    }
  }

  HttpResponse<String> send(String method, String path, String body, String... headers)
      throws IOException, InterruptedException {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create(baseUrl + path))
            .method(method, BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    return client.send(request.build(), BodyHandlers.ofString());
  }

  JsonNode sendJson(String method, String path, String body) throws Exception {
    return JsonHttp.parse(send(method, path, body).body().getBytes(StandardCharsets.UTF_8));
  }

  HttpResponse<String> sendChat(String id, int attempt, String prompt, int maxTokens, String extra)
      throws Exception {
    return send(
        "POST",
        "/v1/chat/completions",
        chatBody(prompt, maxTokens, extra),
        "X-Request-Id",
        id,
        "X-Attempt",
        Integer.toString(attempt));
  }

  static String chatBody(String prompt, int maxTokens, String extra) {
    return "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":"
        + maxTokens
        + ",\"messages\":[{\"role\":\"user\",\"content\":"
        + JsonHttp.toJson(prompt)
        + "}]"
        + extra
        + "}";
  }

  static long seedOf(String prompt) {
    return CompletionGenerator.seed(PrefixHashes.render(List.of(new Message("user", prompt))));
  }

  /** Parses a complete stream into its events without heartbeats. */
  static List<Event> parseEvents(String stream) {
    List<Event> events = new ArrayList<>();
    for (String block : stream.split("\n\n")) {
      String[] lines = block.split("\n");
      if (lines.length == 2) {
        events.add(new Event(lines[0].substring(4), lines[1].substring(6)));
      }
    }
    return events;
  }

  static String joinTokens(List<Event> events) {
    StringBuilder text = new StringBuilder();
    for (Event e : events) {
      if (!e.data().equals("[DONE]")) {
        text.append(e.token());
      }
    }
    return text.toString();
  }
}
