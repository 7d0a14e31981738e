package org.heatherspread.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import org.heatherspread.standin.http.BadRequestException;
import org.heatherspread.standin.http.JsonHttp;

/**
 * Fetches exported KV caches from other engines. Only a descriptor is transferred; the result is
 * delayed by the size of the cache divided by the bandwidth.
 *
 * <p>Thread-safe.
 */
final class KvCacheTransfer {
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
  private final long bytesPerSecond;

  KvCacheTransfer(long bytesPerSecond) {
    this.bytesPerSecond = bytesPerSecond;
  }

  /** Fetches a KV cache; fails if the source does not have it or is unreachable. */
  CompletableFuture<KvCacheStore.KvCache> fetch(String kvId, String source) {
    HttpRequest request;
    try {
      request =
          HttpRequest.newBuilder(URI.create(source + "/v1/kv/" + kvId)).timeout(TIMEOUT).build();
    } catch (IllegalArgumentException e) {
      throw new BadRequestException("bad source: " + source);
    }
    return client
        .sendAsync(request, BodyHandlers.ofByteArray())
        .thenCompose(response -> readAfterTransfer(response.statusCode(), response.body()));
  }

  private CompletableFuture<KvCacheStore.KvCache> readAfterTransfer(int status, byte[] body) {
    if (status != 200) {
      throw new CompletionException(new BadRequestException("source answered " + status));
    }
    JsonNode descriptor = JsonHttp.parse(body);
    KvCacheStore.KvCache cache = JsonHttp.fromJson(descriptor, KvCacheStore.KvCache.class);
    long millis = cache.bytes() * 1_000 / bytesPerSecond;
    return CompletableFuture.supplyAsync(
        () -> cache, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
  }
}
