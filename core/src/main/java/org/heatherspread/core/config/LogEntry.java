package org.heatherspread.core.config;

import java.util.List;
import java.util.Optional;

/**
 * One confirmed step from a version of the configuration to the next. Immutable.
 *
 * @param version the version it makes, one more than the entry before
 * @param planId the plan whose confirmation it is
 * @param operator who confirmed it
 * @param confirmedAtMillis when it was confirmed, in milliseconds since the epoch
 * @param changes the changes it makes, in order
 */
public record LogEntry(
    long version, String planId, String operator, long confirmedAtMillis, List<Change> changes) {
  /** Copies the list, so that the record stays immutable. */
  public LogEntry {
    changes = List.copyOf(changes);
  }

  /** Returns the path of the first change here that conflicts with one of a plan's. */
  public Optional<String> findConflict(Plan plan) {
    for (Change done : changes) {
      for (Change wanted : plan.changes()) {
        if (Change.conflicts(done, wanted)) {
          return Optional.of(done.path());
        }
      }
    }
    return Optional.empty();
  }
}
