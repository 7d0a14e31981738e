package org.heatherspread.standin.http;

import java.util.concurrent.CompletionStage;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * One stand-in: answers HTTP requests from start until {@link #close}.
 *
 * <p>Implementations are safe for use by any thread.
 */
public interface Standin extends AutoCloseable {
  /** ResponseFaults one request; may throw {@link BadRequestException}. */
  CompletionStage<HttpResponse> handle(HttpRequest request);

  @Override
  default void close() {}
}
