package org.heatherspread.core.request;

import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.retry.RetryReason;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Watches one open stream for silence and for tokens that do not come. Time in which the caller
 * does not read does not count, since nothing is read from the engine then.
 *
 * <p>Not safe for use by several threads; belongs to one {@link RequestMachine}.
 */
final class StreamWatch {
  private final RequestPolicy policy;
  private final MonotonicClock clock;
  private long lastByte;
  private long lastToken;
  private long pausedAt;
  private boolean paused;

  StreamWatch(RequestPolicy policy, MonotonicClock clock) {
    this.policy = policy;
    this.clock = clock;
  }

  /** A connection was opened. */
  void opened() {
    lastByte = clock.nanos();
    lastToken = lastByte;
    pausedAt = lastByte;
  }

  /** Bytes came, heartbeats included. */
  void bytes() {
    lastByte = clock.nanos();
  }

  /** A frame of the answer was delivered, out of the bytes that came last. */
  void token() {
    lastToken = lastByte;
  }

  /** The caller stopped or began to read. */
  void pause(boolean nowPaused) {
    if (paused == nowPaused) {
      return;
    }
    paused = nowPaused;
    long now = clock.nanos();
    if (nowPaused) {
      pausedAt = now;
    } else {
      lastByte += now - pausedAt;
      lastToken += now - pausedAt;
    }
  }

  /**
   * Returns what is wrong with the stream, if anything is.
   *
   * @param first whether the attempt's first token has not come yet
   */
  Optional<RetryReason> fault(boolean first) {
    if (paused) {
      return Optional.empty();
    }
    long now = clock.nanos();
    if (now - lastByte > policy.silence().toNanos()) {
      return Optional.of(RetryReason.SILENT);
    }
    Duration bound = first ? policy.firstToken() : policy.progress();
    return now - lastToken > bound.toNanos() ? Optional.of(RetryReason.STALLED) : Optional.empty();
  }
}
