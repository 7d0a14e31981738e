package org.heatherspread.core.poison;

import java.util.Map;
import java.util.Objects;

/**
 * The evidence of one daemon on a suspect, as daemons exchange it. Times are given as ages, as the
 * clocks of daemons are not synchronized. Immutable; stored as JSON under the names of its
 * components.
 *
 * @param crashAgesMillis time since each crash that the suspect was involved in, by crash id
 * @param successAgeMillis time since the suspect was last processed without a crash, -1 if never
 */
public record CrashEvidence(
    Suspect suspect, Map<String, Long> crashAgesMillis, long successAgeMillis) {
  /** Age of a success that has not happened. */
  public static final long NO_SUCCESS = -1;

  /** Checks the suspect and copies the map. */
  public CrashEvidence {
    Objects.requireNonNull(suspect, "suspect");
    crashAgesMillis = Map.copyOf(crashAgesMillis);
  }
}
