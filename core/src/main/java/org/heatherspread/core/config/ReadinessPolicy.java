package org.heatherspread.core.config;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a daemon may take new work under the configuration that it has.
 *
 * <p>A daemon that hears the table service or any other daemon goes on: an outage of the table
 * service alone must not stop requests, and nothing can be confirmed during it. A daemon that hears
 * neither cannot learn of a confirmation, so it stops taking new work after a bound; callers find
 * other daemons. Immutable and safe for use by any thread.
 *
 * @param maxSilence how long a daemon may hear nobody
 */
public record ReadinessPolicy(Duration maxSilence) {
  private static final Duration DEFAULT_MAX_SILENCE = Duration.ofSeconds(10);

  /** Returns the default rule. */
  public static ReadinessPolicy defaults() {
    return new ReadinessPolicy(DEFAULT_MAX_SILENCE);
  }

  /**
   * Tells why no new work may be taken, or empty if it may.
   *
   * @param initialized whether a configuration was learnt from the table service or a peer
   * @param sinceStore since the table service last answered
   * @param sincePeer since any other daemon was heard; zero where no other is known
   */
  public Optional<String> notReadyReason(
      boolean initialized, Duration sinceStore, Duration sincePeer) {
    if (!initialized) {
      return Optional.of("no configuration from the table service or another daemon yet");
    }
    if (sinceStore.compareTo(maxSilence) > 0 && sincePeer.compareTo(maxSilence) > 0) {
      return Optional.of("neither the table service nor another daemon was heard lately");
    }
    return Optional.empty();
  }
}
