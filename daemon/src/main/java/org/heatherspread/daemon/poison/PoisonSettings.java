package org.heatherspread.daemon.poison;

import java.time.Duration;
import org.heatherspread.core.poison.PoisonPolicy;
import org.heatherspread.settings.Section;

/**
 * Settings for the detection of poison requests. Immutable.
 *
 * @param policy crash threshold, and retention and number of evidence entries
 * @param probeTimeout time limit of the probe that checks an endpoint for a crash after a
 *     connection to it broke
 */
public record PoisonSettings(PoisonPolicy policy, Duration probeTimeout) {
  private static final Duration DEFAULT_PROBE_TIMEOUT = Duration.ofMillis(500);
  private static final int MAX_CRASH_THRESHOLD = 10;
  private static final int MAX_ENTRIES = 1_000_000;

  /** Returns the default settings. */
  public static PoisonSettings defaults() {
    return new PoisonSettings(PoisonPolicy.defaults(), DEFAULT_PROBE_TIMEOUT);
  }

  /** Reads the section {@code [poison]}. */
  public static PoisonSettings read(Section section) {
    PoisonPolicy defaults = PoisonPolicy.defaults();
    return new PoisonSettings(
        new PoisonPolicy(
            section.integer("crashes", defaults.crashThreshold(), 2, MAX_CRASH_THRESHOLD),
            section.duration(
                "memory", defaults.retention(), Duration.ofSeconds(10), Duration.ofDays(1)),
            section.integer("capacity", defaults.maxEntries(), 1, MAX_ENTRIES)),
        section.duration(
            "probe_timeout", DEFAULT_PROBE_TIMEOUT, Duration.ofMillis(10), Duration.ofSeconds(10)));
  }
}
