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
 * Calls the operators' interface of the first daemon that answers. Every call is safe to repeat:
 * plans change nothing, and a plan is confirmed at most once whichever daemon is asked.
 *
 * <p>Safe for use by any thread.
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

  /** Calls with GET. */
  public Response get(String path) throws IOException, InterruptedException {
    return call("GET", path, null);
  }

  /** Calls with POST and a JSON body, which may be null. */
  public Response post(String path, JsonNode body) throws IOException, InterruptedException {
    return call("POST", path, body);
  }

  private Response call(String method, String path, JsonNode body)
      throws IOException, InterruptedException {
    IOException last = new IOException("no daemon is named in the settings");
    for (URI daemon : settings.daemons()) {
      try {
        return send(daemon, method, path, body);
      } catch (IOException e) {
        last = new IOException(daemon + ": " + reason(e), e);
      }
    }
    throw last;
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

  private static String reason(IOException e) {
    return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
  }

  /** A daemon's answer. Immutable. */
  public record Response(int status, JsonNode body) {
    /** Tells whether the daemon did what was asked. */
    public boolean isSuccessful() {
      return status / 100 == 2;
    }
  }
}
