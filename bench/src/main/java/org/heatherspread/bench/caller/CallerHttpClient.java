package org.heatherspread.bench.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;

/**
 * Sends blocking HTTP requests that bear the key of one client account.
 *
 * <p>Thread-safe.
 */
final class CallerHttpClient {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
  private static final Duration GET_TIMEOUT = Duration.ofSeconds(2);
  private static final int THREADS = 16;

  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CONNECT_TIMEOUT)
          .executor(
              Executors.newFixedThreadPool(
                  THREADS,
                  r -> {
                    Thread thread = new Thread(r, "caller-http");
                    thread.setDaemon(true);
                    return thread;
                  }))
          .build();
  private final String accountKey;

  CallerHttpClient(String accountKey) {
    this.accountKey = accountKey;
  }

  HttpResponse<String> get(String url) throws IOException {
    return sendRequest(buildRequest("GET", url, "", Map.of(), GET_TIMEOUT));
  }

  HttpResponse<String> send(
      String method, String url, String body, Map<String, String> headers, Duration timeout)
      throws IOException {
    return sendRequest(buildRequest(method, url, body, headers, timeout));
  }

  /** Sends a request and streams the response body; the timeout covers only the headers. */
  HttpResponse<InputStream> openStream(
      String method, String url, String body, Map<String, String> headers, Duration timeout)
      throws IOException {
    try {
      return client.send(
          buildRequest(method, url, body, headers, timeout), BodyHandlers.ofInputStream());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private HttpResponse<String> sendRequest(HttpRequest request) throws IOException {
    try {
      return client.send(request, BodyHandlers.ofString());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private HttpRequest buildRequest(
      String method, String url, String body, Map<String, String> headers, Duration timeout) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create(url))
            .timeout(timeout)
            .header("Authorization", "Bearer " + accountKey)
            .method(
                method, body.isEmpty() ? BodyPublishers.noBody() : BodyPublishers.ofString(body));
    if (!body.isEmpty()) {
      builder.header("Content-Type", "application/json");
    }
    headers.forEach(builder::header);
    return builder.build();
  }

  /** Returns whether the connection could not be made, so that the request was never sent. */
  static boolean isConnectFailure(IOException e) {
    return e instanceof ConnectException || e instanceof HttpConnectTimeoutException;
  }

  static JsonNode parseJson(String text) throws IOException {
    try {
      return MAPPER.readTree(text);
    } catch (JsonProcessingException e) {
      throw new IOException("not valid JSON: " + text, e);
    }
  }

  static String toJson(Object value) {
    try {
      return MAPPER.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException(e);
    }
  }

  static String firstHeader(HttpResponse<?> response, String name) {
    List<String> values = response.headers().allValues(name);
    return values.isEmpty() ? "" : values.get(0);
  }
}
