package org.heatherspread.core.request;

import java.time.Duration;
import org.heatherspread.core.retry.Backoff;

/**
 * The bounds that a request's progress is held to. Immutable.
 *
 * @param start longest wait for an endpoint to take a request or resume a stream
 * @param silence longest time without any byte on an open stream before it is replaced
 * @param firstToken longest wait for the first token of an attempt
 * @param progress longest wait between tokens while heartbeats come
 * @param recovery longest search for another endpoint once a request may have run
 * @param move least notice that is enough to export and import a KV cache
 * @param maxAttempts most attempts of one request, planned moves not counted
 * @param backoff delays between attempts
 */
public record RequestPolicy(
    Duration start,
    Duration silence,
    Duration firstToken,
    Duration progress,
    Duration recovery,
    Duration move,
    int maxAttempts,
    Backoff backoff) {
  private static final Duration DEFAULT_START = Duration.ofSeconds(3);
  private static final Duration DEFAULT_SILENCE = Duration.ofSeconds(3);
  private static final Duration DEFAULT_FIRST_TOKEN = Duration.ofSeconds(30);
  private static final Duration DEFAULT_PROGRESS = Duration.ofSeconds(10);
  private static final Duration DEFAULT_RECOVERY = Duration.ofSeconds(10);
  private static final Duration DEFAULT_MOVE = Duration.ofMillis(500);
  private static final int DEFAULT_MAX_ATTEMPTS = 5;

  /** Returns the bounds of a deployment that states none. */
  public static RequestPolicy defaults() {
    return new RequestPolicy(
        DEFAULT_START,
        DEFAULT_SILENCE,
        DEFAULT_FIRST_TOKEN,
        DEFAULT_PROGRESS,
        DEFAULT_RECOVERY,
        DEFAULT_MOVE,
        DEFAULT_MAX_ATTEMPTS,
        Backoff.defaults());
  }
}
