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
 * The instance list over JSON and HTTP.
 *
 * <p>Safe for use by any thread.
 */
public final class HttpInstanceListClient implements InstanceListClient {
  private final JsonClient client;

  private HttpInstanceListClient(JsonClient client) {
    this.client = client;
  }

  /** Creates a client of the list at a base URL. */
  public static HttpInstanceListClient create(URI base, Duration timeout) {
    return new HttpInstanceListClient(JsonClient.create(base, timeout));
  }

  private record Listing(long asOf, List<InstanceJson> instances) {}

  @Override
  public CompletableFuture<InstanceListing> fetch() {
    return client.send("GET", "/v1/instances").thenApply(HttpInstanceListClient::read);
  }

  private static InstanceListing read(JsonClient.Answer answer) {
    try {
      if (!answer.successful()) {
        throw new IOException("Instance list answered " + answer.status());
      }
      Listing listing = answer.as(Listing.class);
      return new InstanceListing(
          listing.asOf(), listing.instances().stream().map(InstanceJson::toInstance).toList());
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }
}
