package org.heatherspread.backing.cloud;

import java.io.IOException;
import java.net.URI;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.heatherspread.backing.http.InstanceJson;
import org.heatherspread.backing.http.JsonClient;
import org.heatherspread.core.model.FailureDomain;
import org.heatherspread.core.model.Market;

/**
 * Calls the cloud API with JSON over HTTP; see section 4 of docs/INTERFACES.md.
 *
 * <p>Safe for use by any thread.
 */
public final class HttpCloudApi implements CloudApi {
  private static final int CONFLICT = 409;
  private static final int NOT_FOUND = 404;

  private final JsonClient client;

  private HttpCloudApi(JsonClient client) {
    this.client = client;
  }

  /** Creates a client for the cloud API at a base URL. */
  public static HttpCloudApi create(URI base, Duration timeout) {
    return new HttpCloudApi(JsonClient.create(base, timeout));
  }

  private record OfferJson(
      String machineClass, Market market, String region, String domain, double pricePerHour) {
    Offer toOffer() {
      return new Offer(machineClass, market, new FailureDomain(region, domain), pricePerHour);
    }
  }

  private record OffersJson(List<OfferJson> offers) {}

  private record StartJson(
      String kind,
      String service,
      String machineClass,
      String market,
      String region,
      String domain,
      String clientToken) {}

  private record RefusalJson(String reason) {}

  private record NoticesJson(List<Notice> notices, long next) {}

  @Override
  public CompletableFuture<List<Offer>> offers() {
    return client
        .send("GET", "/v1/offers")
        .thenApply(
            a -> parse(a, OffersJson.class).offers().stream().map(OfferJson::toOffer).toList());
  }

  @Override
  public CompletableFuture<StartResult> start(StartRequest request) {
    StartJson body =
        new StartJson(
            request.kind().name().toLowerCase(Locale.ROOT),
            request.service(),
            request.machineClass(),
            request.market().name().toLowerCase(Locale.ROOT),
            request.domain().region(),
            request.domain().name(),
            request.clientToken());
    return client.send("POST", "/v1/instances", body).thenApply(HttpCloudApi::toStartResult);
  }

  private static StartResult toStartResult(JsonClient.Response response) {
    if (response.status() == CONFLICT) {
      try {
        return new StartResult(Optional.empty(), response.parseAs(RefusalJson.class).reason());
      } catch (IOException e) {
        throw new CompletionException(e);
      }
    }
    InstanceJson instance = parse(response, InstanceJson.class);
    return new StartResult(Optional.of(instance.toInstance()), "");
  }

  @Override
  public CompletableFuture<Void> delete(String instanceId) {
    String id = URLEncoder.encode(instanceId, StandardCharsets.UTF_8);
    return client.send("DELETE", "/v1/instances/" + id).thenAccept(HttpCloudApi::checkDeleted);
  }

  private static void checkDeleted(JsonClient.Response response) {
    if (!response.isSuccessful() && response.status() != NOT_FOUND) {
      throw new CompletionException(
          new IOException("cloud API returned status " + response.status()));
    }
  }

  @Override
  public CompletableFuture<List<Notice>> notices(long afterSeq) {
    return client
        .send("GET", "/v1/notices?after=" + afterSeq)
        .thenApply(a -> parse(a, NoticesJson.class).notices());
  }

  private static <T> T parse(JsonClient.Response response, Class<T> type) {
    try {
      if (!response.isSuccessful()) {
        throw new IOException("cloud API returned status " + response.status());
      }
      return response.parseAs(type);
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }
}
