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
 * Answers that go wrong or come late.
 *
 * <p>Stateless; safe for use by any thread.
 */
public final class Answers {
  private static final int NEVER_SENT_BYTES = 1_024;

  private Answers() {}

  /** Returns an answer whose connection is cut before the body. */
  public static HttpResponse cut() {
    Source<ByteString, ?> failing = Source.failed(new IllegalStateException("cut on purpose"));
    return HttpResponse.create()
        .withEntity(HttpEntities.create(ContentTypes.APPLICATION_JSON, NEVER_SENT_BYTES, failing));
  }

  /** Returns an answer that never comes while its connection stays open. */
  public static CompletionStage<HttpResponse> never() {
    return new CompletableFuture<>();
  }

  /** Completes with nothing after a delay. */
  public static CompletableFuture<Void> after(long millis) {
    if (millis <= 0) {
      return CompletableFuture.completedFuture(null);
    }
    return CompletableFuture.runAsync(
        () -> {}, CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS));
  }
}
