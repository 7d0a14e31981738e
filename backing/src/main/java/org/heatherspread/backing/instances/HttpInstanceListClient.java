package org.heatherspread.backing.instances;

import java.io.IOException;
import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heatherspread.backing.http.InstanceJson;
import org.heatherspread.backing.http.JsonClient;

/**
 * Fetches the instance list as JSON over HTTP.
 *
 * <p>Safe for use by any thread.
 */
public final class HttpInstanceListClient implements InstanceListClient {
  private final JsonClient client;

  private HttpInstanceListClient(JsonClient client) {
    this.client = client;
  }

  /** Creates a client for the list at a base URL. */
  public static HttpInstanceListClient create(URI base, Duration timeout) {
    return new HttpInstanceListClient(JsonClient.create(base, timeout));
  }

  private record InstancesResponse(long asOf, List<InstanceJson> instances) {}

  @Override
  public CompletableFuture<InstanceListSnapshot> fetch() {
    return client.send("GET", "/v1/instances").thenApply(HttpInstanceListClient::toSnapshot);
  }

  private static InstanceListSnapshot toSnapshot(JsonClient.Response response) {
    try {
      if (!response.isSuccessful()) {
        throw new IOException("instance list service returned status " + response.status());
      }
      InstancesResponse instanceList = response.parseAs(InstancesResponse.class);
      return new InstanceListSnapshot(
          instanceList.asOf(),
          instanceList.instances().stream().map(InstanceJson::toInstance).toList());
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }
}
