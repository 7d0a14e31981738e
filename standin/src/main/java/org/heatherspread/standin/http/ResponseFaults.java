package org.heatherspread.standin.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

/**
 * Simulates delayed, aborted and missing HTTP responses.
 *
 * <p>Stateless and thread-safe.
 */
public final class ResponseFaults {
  private static final int DECLARED_BODY_BYTES = 1_024;

  private ResponseFaults() {}

  /** Returns a response whose connection is closed after the headers and before the body. */
  public static HttpResponse abortedResponse() {
    Source<ByteString, ?> failingBody =
        Source.failed(new IllegalStateException("response aborted by fault injection"));
    return HttpResponse.create()
        .withEntity(
            HttpEntities.create(ContentTypes.APPLICATION_JSON, DECLARED_BODY_BYTES, failingBody));
  }

  /** Returns a stage that never completes, so that the connection stays open without a response. */
  public static CompletionStage<HttpResponse> noResponse() {
    return new CompletableFuture<>();
  }

  /** Returns a future that completes with null after a delay. */
  public static CompletableFuture<Void> delay(long millis) {
    if (millis <= 0) {
      return CompletableFuture.completedFuture(null);
    }
    return CompletableFuture.runAsync(
        () -> {}, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
  }
}
