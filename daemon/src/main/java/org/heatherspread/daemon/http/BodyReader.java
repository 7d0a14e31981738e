package org.heatherspread.daemon.http;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.util.ByteString;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * Reads request bodies into memory. A body above the limit is read and discarded, up to a multiple
 * of the limit, before the request is refused: a caller that is still sending would see a
 * connection reset instead of the response.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class BodyReader {
  private static final String MAX_BYTES_KEY = "pekko.http.server.parsing.max-content-length";
  private static final long MAX_DISCARD_FACTOR = 16;

  private final ActorSystem<?> system;
  private final long maxBytes;
  private final Duration timeout;

  private BodyReader(ActorSystem<?> system, long maxBytes, Duration timeout) {
    this.system = system;
    this.maxBytes = maxBytes;
    this.timeout = timeout;
  }

  /** Creates a reader with the body limit of the HTTP server. */
  public static BodyReader create(ActorSystem<?> system, Duration timeout) {
    return new BodyReader(system, system.settings().config().getBytes(MAX_BYTES_KEY), timeout);
  }

  /** Returns a copy with a lower limit; a higher limit has no effect. */
  public BodyReader withLimit(long bytes) {
    return new BodyReader(system, Math.min(maxBytes, bytes), timeout);
  }

  /**
   * Reads the body of a request.
   *
   * @return the body; fails with {@link ServingException} of kind {@code BODY_TOO_LARGE}
   */
  public CompletionStage<ByteString> read(HttpRequest request) {
    if (request.entity() instanceof HttpEntity.Strict strict) {
      ByteString data = strict.getData();
      return data.size() <= maxBytes
          ? CompletableFuture.completedFuture(data)
          : CompletableFuture.failedFuture(tooLarge());
    }
    return request
        .entity()
        .withoutSizeLimit()
        .getDataBytes()
        .completionTimeout(timeout)
        .runFold(Received.EMPTY, this::receive, system)
        .thenApply(
            received -> {
              if (received.size() > maxBytes) {
                throw tooLarge();
              }
              return received.data();
            });
  }

  private Received receive(Received received, ByteString chunk) {
    long size = received.size() + chunk.size();
    if (size > maxBytes * MAX_DISCARD_FACTOR) {
      throw tooLarge();
    }
    return new Received(size, size > maxBytes ? Received.EMPTY.data : received.data.concat(chunk));
  }

  private ServingException tooLarge() {
    return ServingException.of(
        ErrorKind.BODY_TOO_LARGE, "request body exceeds the limit of " + maxBytes + " bytes");
  }

  /** The bytes received so far; above the limit they are counted and not stored. */
  private record Received(long size, ByteString data) {
    static final Received EMPTY = new Received(0, ByteString.emptyByteString());
  }
}
