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
 * @param bound how long a daemon may hear nobody
 */
public record Freshness(Duration bound) {
  private static final Duration DEFAULT_BOUND = Duration.ofSeconds(10);

  /** Returns the default rule. */
  public static Freshness defaults() {
    return new Freshness(DEFAULT_BOUND);
  }

  /**
   * Tells why no new work may be taken, or empty if it may.
   *
   * @param known whether a configuration was learnt from the table service or a peer
   * @param sinceStore since the table service last answered
   * @param sincePeer since any other daemon was heard; zero where no other is known
   */
  public Optional<String> notReadyBecause(boolean known, Duration sinceStore, Duration sincePeer) {
    if (!known) {
      return Optional.of("no configuration from the table service or another daemon yet");
    }
    if (sinceStore.compareTo(bound) > 0 && sincePeer.compareTo(bound) > 0) {
      return Optional.of("neither the table service nor another daemon was heard lately");
    }
    return Optional.empty();
  }
}
