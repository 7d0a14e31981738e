package org.heatherspread.core.request;

import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Watches one open stream for silence and for tokens that do not come. Time in which the caller
 * does not read does not count, since nothing is read from the engine then.
 *
 * <p>Not safe for use by several threads; belongs to one {@link RequestStateMachine}.
 */
final class StreamMonitor {
  private final RequestPolicy policy;
  private final MonotonicClock clock;
  private long lastByteAt;
  private long lastTokenAt;
  private long pausedAt;
  private boolean paused;

  StreamMonitor(RequestPolicy policy, MonotonicClock clock) {
    this.policy = policy;
    this.clock = clock;
  }

  /** A connection was opened. */
  void onOpened() {
    lastByteAt = clock.nanos();
    lastTokenAt = lastByteAt;
    pausedAt = lastByteAt;
  }

  /** Bytes came, heartbeats included. */
  void onBytes() {
    lastByteAt = clock.nanos();
  }

  /** A frame of the answer was delivered, out of the bytes that came last. */
  void onToken() {
    lastTokenAt = lastByteAt;
  }

  /** The caller stopped or began to read. */
  void setPaused(boolean nowPaused) {
    if (paused == nowPaused) {
      return;
    }
    paused = nowPaused;
    long now = clock.nanos();
    if (nowPaused) {
      pausedAt = now;
    } else {
      lastByteAt += now - pausedAt;
      lastTokenAt += now - pausedAt;
    }
  }

  /**
   * Returns what is wrong with the stream, if anything is.
   *
   * @param first whether the attempt's first token has not come yet
   */
  Optional<RetryReason> findFailure(boolean awaitingFirstToken) {
    if (paused) {
      return Optional.empty();
    }
    long now = clock.nanos();
    if (now - lastByteAt > policy.silenceTimeout().toNanos()) {
      return Optional.of(RetryReason.SILENT);
    }
    Duration timeout = awaitingFirstToken ? policy.firstTokenTimeout() : policy.interTokenTimeout();
    return now - lastTokenAt > timeout.toNanos()
        ? Optional.of(RetryReason.STALLED)
        : Optional.empty();
  }
}
