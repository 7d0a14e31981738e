package org.heatherspread.core.poison;

import java.time.Duration;

/**
 * When a request is refused as poisoned, and for how long. Immutable.
 *
 * @param crashes crashes after which it is refused
 * @param memory how long evidence and verdicts are kept after they last changed
 * @param capacity requests with evidence kept at most
 */
public record PoisonPolicy(int crashThreshold, Duration retention, int maxEntries) {
  private static final int DEFAULT_CRASHES = 2;
  private static final Duration DEFAULT_MEMORY = Duration.ofMinutes(30);
  private static final int DEFAULT_CAPACITY = 10_000;

  /** Returns the limits of a deployment that states none. */
  public static PoisonPolicy defaults() {
    return new PoisonPolicy(DEFAULT_CRASHES, DEFAULT_MEMORY, DEFAULT_CAPACITY);
  }
}
