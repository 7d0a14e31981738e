package org.heatherspread.core.request;

import java.time.Duration;
import org.heatherspread.core.retry.Backoff;

/**
 * Timeouts and retry limits of a request. Immutable.
 *
 * @param startTimeout maximum time for an endpoint to accept a request or resume a stream
 * @param silenceTimeout maximum time without any byte on an open stream before the stream is
 *     replaced
 * @param firstTokenTimeout maximum time to the first token of an attempt
 * @param interTokenTimeout maximum time between tokens while heartbeats arrive
 * @param recoveryTimeout maximum time to find another endpoint after an attempt failed
 * @param minMoveNotice minimum remaining notice for which the KV cache is exported and imported
 * @param maxAttempts maximum number of attempts of one request, planned moves not counted
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

  /** Returns the default policy. */
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
