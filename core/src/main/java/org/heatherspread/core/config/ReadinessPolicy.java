package org.heatherspread.core.config;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether the configuration of a daemon is recent enough to accept new work.
 *
 * <p>A daemon that reaches the table service or any other daemon stays ready: an outage of the
 * table service alone must not stop requests, and no plan can be confirmed during it. A daemon that
 * reaches neither cannot learn of a confirmed plan, so it stops accepting new work after {@code
 * maxSilence}, and callers use other daemons. Immutable and thread-safe.
 *
 * @param maxSilence maximum time without contact to the table service and to other daemons
 */
public record ReadinessPolicy(Duration maxSilence) {
  private static final Duration DEFAULT_MAX_SILENCE = Duration.ofSeconds(10);

  /** Returns the default policy. */
  public static ReadinessPolicy defaults() {
    return new ReadinessPolicy(DEFAULT_MAX_SILENCE);
  }

  /**
   * Returns the reason why new work must be refused, or empty if it may be accepted.
   *
   * @param initialized whether a configuration was received from the table service or a peer
   * @param sinceStore time since the last response of the table service
   * @param sincePeer time since the last contact with another daemon; zero if none is known
   */
  public Optional<String> notReadyReason(
      boolean initialized, Duration sinceStore, Duration sincePeer) {
    if (!initialized) {
      return Optional.of("no configuration received from the table service or another daemon yet");
    }
    if (sinceStore.compareTo(maxSilence) > 0 && sincePeer.compareTo(maxSilence) > 0) {
      return Optional.of("no recent contact with the table service or another daemon");
    }
    return Optional.empty();
  }
}
