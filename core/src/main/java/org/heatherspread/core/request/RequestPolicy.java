package org.heatherspread.core.request;

import java.time.Duration;
import org.heatherspread.core.retry.Backoff;

/**
 * The bounds that a request's progress is held to. Immutable.
 *
 * @param startTimeout longest wait for an endpoint to take a request or resume a stream
 * @param silenceTimeout longest time without any byte on an open stream before it is replaced
 * @param firstTokenTimeout longest wait for the first token of an attempt
 * @param interTokenTimeout longest wait between tokens while heartbeats come
 * @param recoveryTimeout longest search for another endpoint once a request may have run
 * @param minMoveNotice least notice that is enough to export and import a KV cache
 * @param maxAttempts most attempts of one request, planned moves not counted
 * @param backoff delays between attempts
 */
public record RequestPolicy(
    Duration startTimeout,
    Duration silenceTimeout,
    Duration firstTokenTimeout,
    Duration interTokenTimeout,
    Duration recoveryTimeout,
    Duration minMoveNotice,
    int maxAttempts,
    Backoff backoff) {
  private static final Duration DEFAULT_START_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofSeconds(3);
  private static final Duration DEFAULT_FIRST_TOKEN_TIMEOUT = Duration.ofSeconds(30);
  private static final Duration DEFAULT_INTER_TOKEN_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DEFAULT_RECOVERY_TIMEOUT = Duration.ofSeconds(10);
  private static final Duration DEFAULT_MIN_MOVE_NOTICE = Duration.ofMillis(500);
  private static final int DEFAULT_MAX_ATTEMPTS = 5;

  /** Returns the bounds of a deployment that states none. */
  public static RequestPolicy defaults() {
    return new RequestPolicy(
        DEFAULT_START_TIMEOUT,
        DEFAULT_SILENCE_TIMEOUT,
        DEFAULT_FIRST_TOKEN_TIMEOUT,
        DEFAULT_INTER_TOKEN_TIMEOUT,
        DEFAULT_RECOVERY_TIMEOUT,
        DEFAULT_MIN_MOVE_NOTICE,
        DEFAULT_MAX_ATTEMPTS,
        Backoff.defaults());
  }
}
