package org.heatherspread.core.poison;

import java.time.Duration;

/**
 * Policy for refusing requests as poisoned. Immutable.
 *
 * @param crashThreshold number of crashes at which a request is refused
 * @param retention time for which evidence is kept after its last change
 * @param maxEntries maximum number of requests with evidence
 */
public record PoisonPolicy(int crashThreshold, Duration retention, int maxEntries) {
  private static final int DEFAULT_CRASH_THRESHOLD = 2;
  private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(30);
  private static final int DEFAULT_MAX_ENTRIES = 10_000;

  /** Returns the policy of a deployment that configures none. */
  public static PoisonPolicy defaults() {
    return new PoisonPolicy(DEFAULT_CRASH_THRESHOLD, DEFAULT_RETENTION, DEFAULT_MAX_ENTRIES);
  }
}
