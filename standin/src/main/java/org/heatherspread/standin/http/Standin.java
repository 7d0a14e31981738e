package org.heatherspread.standin.http;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Handles the HTTP requests of a simulated external system from its creation until {@link #close}.
 *
 * <p>Implementations are thread-safe.
 */
public interface Standin extends AutoCloseable {
  /** Handles a request; may throw {@link BadRequestException}. */
  CompletionStage<HttpResponse> handle(HttpRequest request);

  @Override
  default void close() {}
}
