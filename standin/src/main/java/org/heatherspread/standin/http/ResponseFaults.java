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
 * ResponseFaults that go wrong or come late.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class ResponseFaults {
  private static final int DECLARED_BODY_BYTES = 1_024;

  private ResponseFaults() {}

  /** Returns an answer whose connection is cut before the body. */
  public static HttpResponse abortedResponse() {
    Source<ByteString, ?> failingBody = Source.failed(new IllegalStateException("cut on purpose"));
    return HttpResponse.create()
        .withEntity(
            HttpEntities.create(ContentTypes.APPLICATION_JSON, DECLARED_BODY_BYTES, failingBody));
  }

  /** Returns an answer that never comes while its connection stays open. */
  public static CompletionStage<HttpResponse> noResponse() {
    return new CompletableFuture<>();
  }

  /** Completes with nothing after a delay. */
  public static CompletableFuture<Void> delay(long millis) {
    if (millis <= 0) {
      return CompletableFuture.completedFuture(null);
    }
    return CompletableFuture.runAsync(
        () -> {}, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
  }
}
