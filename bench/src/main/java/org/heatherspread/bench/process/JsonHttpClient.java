package org.heatherspread.bench.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;

/** Sends the blocking JSON requests that set up a run. Stateless and thread-safe. */
public final class JsonHttpClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration TIMEOUT = Duration.ofSeconds(5);
  private static final HttpClient CLIENT =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();

  private JsonHttpClient() {}

  /** Returns the shared mapper. */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /** Sends a request and returns the response, whatever its status. */
  public static HttpResponse<String> send(String method, String url, String body)
      throws IOException {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(TIMEOUT)
            .header("Content-Type", "application/json")
            .method(method, BodyPublishers.ofString(body))
            .build();
    try {
      return CLIENT.send(request, BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  /** Posts a JSON body and returns the JSON response; fails on a status other than 2xx. */
  public static JsonNode post(String url, String body) throws IOException {
    HttpResponse<String> response = send("POST", url, body);
    if (response.statusCode() / 100 != 2) {
      throw new IOException(
          url + " returned status " + response.statusCode() + ": " + response.body());
    }
    return MAPPER.readTree(response.body());
  }
}
