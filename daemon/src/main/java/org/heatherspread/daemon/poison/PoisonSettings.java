package org.heatherspread.daemon.poison;

import java.time.Duration;
import org.heatherspread.core.poison.PoisonPolicy;
import org.heatherspread.settings.Section;

/**
 * When requests are refused as poisoned. Immutable.
 *
 * @param policy crashes and memory
 * @param probeTimeout how long an endpoint whose connection broke is given to accept a new one
 */
public record PoisonSettings(PoisonPolicy policy, Duration probeTimeout) {
  private static final Duration DEFAULT_PROBE_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_CRASHES = 10;
  private static final int MAX_CAPACITY = 1_000_000;

  /** Returns the settings of a deployment that states none. */
  public static PoisonSettings defaults() {
    return new PoisonSettings(PoisonPolicy.defaults(), DEFAULT_PROBE_TIMEOUT);
  }

  /** Reads the section {@code [poison]}. */
  public static PoisonSettings read(Section section) {
    PoisonPolicy defaults = PoisonPolicy.defaults();
    return new PoisonSettings(
        new PoisonPolicy(
            section.integer("crashes", defaults.crashThreshold(), 2, MAX_CRASHES),
            section.duration(
                "memory", defaults.retention(), Duration.ofSeconds(10), Duration.ofDays(1)),
            section.integer("capacity", defaults.maxEntries(), 1, MAX_CAPACITY)),
        section.duration(
            "probe_timeout", DEFAULT_PROBE_TIMEOUT, Duration.ofMillis(10), Duration.ofSeconds(10)));
  }
}
