package org.heatherspread.core.config;

import java.util.List;
import java.util.Optional;

/**
 * The log entry of a confirmed plan, which leads from one version of the configuration to the next.
 * Immutable.
 *
 * @param version resulting version, one more than that of the previous entry
 * @param planId id of the confirmed plan
 * @param operator operator who confirmed the plan
 * @param confirmedAtMillis time of the confirmation, in milliseconds since the epoch
 * @param changes changes in the order in which they are applied
 */
public record LogEntry(
    long version, String planId, String operator, long confirmedAtMillis, List<Change> changes) {
  /** Copies the list, so that the record is immutable. */
  public LogEntry {
    changes = List.copyOf(changes);
  }

  /** Returns the path of the first change in this entry that conflicts with a plan. */
  public Optional<String> findConflict(Plan plan) {
    for (Change confirmed : changes) {
      for (Change planned : plan.changes()) {
        if (Change.conflicts(confirmed, planned)) {
          return Optional.of(confirmed.path());
        }
      }
    }
    return Optional.empty();
  }
}
