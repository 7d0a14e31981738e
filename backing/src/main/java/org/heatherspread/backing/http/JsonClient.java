package org.heatherspread.backing.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

/**
 * Sends JSON requests to one platform service. Property names are in snake case; unknown properties
 * are ignored. Each call ends within the timeout, even if the connection stops responding.
 *
 * <p>Safe for use by any thread.
 */
public final class JsonClient {
  private static final ObjectMapper MAPPER =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
          .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  private final HttpClient client;
  private final String baseUrl;
  private final Duration timeout;

  private JsonClient(URI baseUrl, Duration timeout) {
    this.client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(timeout)
            .build();
    this.baseUrl = baseUrl.toString();
    this.timeout = timeout;
  }

  /** Creates a client for the service at a base URL. */
  public static JsonClient create(URI baseUrl, Duration timeout) {
    return new JsonClient(baseUrl, timeout);
  }

  /** Status and body of a response. Immutable. */
  public record Response(int status, String body) {
    /** Returns whether the status is in the 2xx range. */
    public boolean isSuccessful() {
      return status / 100 == 2;
    }

    /**
     * Parses the body as a value of a type.
     *
     * @throws IOException if the body cannot be parsed
     */
    public <T> T parseAs(Class<T> type) throws IOException {
      return MAPPER.readValue(body, type);
    }
  }

  /** Sends a request without a body. */
  public CompletableFuture<Response> send(String method, String path) {
    return send(method, path, BodyPublishers.noBody());
  }

  /** Sends a request with a JSON body. */
  public CompletableFuture<Response> send(String method, String path, Object body) {
    try {
      return send(method, path, BodyPublishers.ofString(MAPPER.writeValueAsString(body)));
    } catch (JsonProcessingException e) {
      return CompletableFuture.failedFuture(e);
    }
  }

  private CompletableFuture<Response> send(
      String method, String path, HttpRequest.BodyPublisher body) {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(baseUrl + path))
            .timeout(timeout)
            .header("Content-Type", "application/json")
            .method(method, body)
            .build();
    return client
        .sendAsync(request, BodyHandlers.ofString())
        .thenApply(a -> new Response(a.statusCode(), a.body()))
        .orTimeout(timeout.toMillis(), TimeUnit.MILLISECONDS);
  }
}
