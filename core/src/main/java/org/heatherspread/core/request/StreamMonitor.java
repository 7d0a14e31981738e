package org.heatherspread.core.request;

import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Detects silent and stalled streams. Time during which the caller does not read does not count,
 * because nothing is read from the engine then.
 *
 * <p>Not thread-safe; owned by one {@link RequestStateMachine}.
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

  /** Resets all timers for a newly opened stream. */
  void onOpened() {
    lastByteAt = clock.nanos();
    lastTokenAt = lastByteAt;
    pausedAt = lastByteAt;
  }

  /** Records received bytes, heartbeats included. */
  void onBytes() {
    lastByteAt = clock.nanos();
  }

  /** Records a delivered frame, at the time of the last received bytes. */
  void onToken() {
    lastTokenAt = lastByteAt;
  }

  /** Sets whether the caller has stopped reading. */
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
   * Returns the reason to replace the stream, or empty if it is healthy.
   *
   * @param awaitingFirstToken whether the attempt has not delivered its first token
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
