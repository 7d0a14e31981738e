package org.heatherspread.cli.impl;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import org.heatherspread.cli.CliSettings;

/**
 * Client of the operator API. Calls the daemons in the order of the settings until one sends a
 * valid response, so a request whose response is lost is repeated at the next daemon. This is safe
 * for plans: creating one does not change the configuration, and a plan is committed at most once,
 * whichever daemons receive the confirmation.
 *
 * <p>Thread-safe.
 */
public final class OperatorClient {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final CliSettings settings;
  private final HttpClient http;

  private OperatorClient(CliSettings settings) {
    this.settings = settings;
    this.http = HttpClient.newBuilder().connectTimeout(settings.timeout()).build();
  }

  /** Creates a client. */
  public static OperatorClient create(CliSettings settings) {
    return new OperatorClient(settings);
  }

  /**
   * Sends a GET request.
   *
   * @throws IOException if no daemon sends a valid response
   */
  public Response get(String path) throws IOException, InterruptedException {
    return call("GET", path, null);
  }

  /**
   * Sends a POST request.
   *
   * @param body JSON body; null for none
   * @throws IOException if no daemon sends a valid response
   */
  public Response post(String path, JsonNode body) throws IOException, InterruptedException {
    return call("POST", path, body);
  }

  private Response call(String method, String path, JsonNode body)
      throws IOException, InterruptedException {
    IOException lastFailure = new IOException("no daemon URL is configured");
    for (URI daemon : settings.daemons()) {
      try {
        return send(daemon, method, path, body);
      } catch (IOException e) {
        lastFailure = new IOException(daemon + ": " + failureReason(e), e);
      }
    }
    throw lastFailure;
  }

  private Response send(URI daemon, String method, String path, JsonNode body)
      throws IOException, InterruptedException {
    HttpRequest.BodyPublisher publisher =
        body == null
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(JSON.writeValueAsBytes(body));
    HttpRequest request =
        HttpRequest.newBuilder(daemon.resolve(path))
            .timeout(settings.timeout())
            .header("Authorization", "Bearer " + settings.key())
            .header("Content-Type", "application/json")
            .method(method, publisher)
            .build();
    HttpResponse<byte[]> response = http.send(request, HttpResponse.BodyHandlers.ofByteArray());
    JsonNode tree =
        response.body().length == 0 ? MissingNode.getInstance() : JSON.readTree(response.body());
    return new Response(response.statusCode(), tree);
  }

  private static String failureReason(IOException e) {
    return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
  }

  /** A response of a daemon. Immutable. */
  public record Response(int status, JsonNode body) {
    /** Returns whether the status is 2xx. */
    public boolean isSuccessful() {
      return status / 100 == 2;
    }
  }
}
