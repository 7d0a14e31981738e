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
 * Reads the body of a request whole. A body over the limit is read to its end, up to a bound, and
 * thrown away before the refusal, since a caller that is still sending would see a reset connection
 * in place of the answer.
 *
 * <p>Immutable and safe for use by any thread.
 */
public final class BodyReader {
  private static final String LIMIT_KEY = "pekko.http.server.parsing.max-content-length";
  private static final long DISCARD_FACTOR = 16;

  private final ActorSystem<?> system;
  private final long limit;
  private final Duration timeout;

  private BodyReader(ActorSystem<?> system, long limit, Duration timeout) {
    this.system = system;
    this.limit = limit;
    this.timeout = timeout;
  }

  /** Creates a reader with the limit of the HTTP server's settings. */
  public static BodyReader create(ActorSystem<?> system, Duration timeout) {
    return new BodyReader(system, system.settings().config().getBytes(LIMIT_KEY), timeout);
  }

  /** Returns a copy with a lower limit; a higher one changes nothing. */
  public BodyReader withLimit(long bytes) {
    return new BodyReader(system, Math.min(limit, bytes), timeout);
  }

  /**
   * Reads the body.
   *
   * @return the body; fails with {@code BODY_TOO_LARGE}
   */
  public CompletionStage<ByteString> read(HttpRequest request) {
    if (request.entity() instanceof HttpEntity.Strict strict) {
      ByteString data = strict.getData();
      return data.size() <= limit
          ? CompletableFuture.completedFuture(data)
          : CompletableFuture.failedFuture(tooLarge());
    }
    return request
        .entity()
        .withoutSizeLimit()
        .getDataBytes()
        .completionTimeout(timeout)
        .runFold(Received.NOTHING, this::receive, system)
        .thenApply(
            received -> {
              if (received.size() > limit) {
                throw tooLarge();
              }
              return received.kept();
            });
  }

  private Received receive(Received before, ByteString chunk) {
    long size = before.size() + chunk.size();
    if (size > limit * DISCARD_FACTOR) {
      throw tooLarge();
    }
    return new Received(size, size > limit ? Received.NOTHING.kept : before.kept.concat(chunk));
  }

  private ServingException tooLarge() {
    return ServingException.of(
        ErrorKind.BODY_TOO_LARGE, "The body is over the limit of " + limit + " bytes");
  }

  /** What has come so far; what is over the limit is counted but not kept. */
  private record Received(long size, ByteString kept) {
    static final Received NOTHING = new Received(0, ByteString.emptyByteString());
  }
}
