package org.heatherspread.daemon.poison;

import java.time.Duration;
import org.heatherspread.core.poison.PoisonLimits;
import org.heatherspread.settings.Section;

/**
 * When requests are refused as poisoned. Immutable.
 *
 * @param limits crashes and memory
 * @param probeTimeout how long an endpoint whose connection broke is given to accept a new one
 */
public record PoisonSettings(PoisonLimits limits, Duration probeTimeout) {
  private static final Duration DEFAULT_PROBE_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_CRASHES = 10;
  private static final int MAX_CAPACITY = 1_000_000;

  /** Returns the settings of a deployment that states none. */
  public static PoisonSettings defaults() {
    return new PoisonSettings(PoisonLimits.defaults(), DEFAULT_PROBE_TIMEOUT);
  }

  /** Reads the section {@code [poison]}. */
  public static PoisonSettings read(Section section) {
    PoisonLimits limits = PoisonLimits.defaults();
    return new PoisonSettings(
        new PoisonLimits(
            section.integer("crashes", limits.crashes(), 2, MAX_CRASHES),
            section.duration("memory", limits.memory(), Duration.ofSeconds(10), Duration.ofDays(1)),
            section.integer("capacity", limits.capacity(), 1, MAX_CAPACITY)),
        section.duration(
            "probe_timeout", DEFAULT_PROBE_TIMEOUT, Duration.ofMillis(10), Duration.ofSeconds(10)));
  }
}
