package org.heatherspread.core.config;

import java.util.List;
import java.util.Optional;

/**
 * What the system will do about an intent once an operator confirms it. Immutable.
 *
 * @param id random; also the write id of its confirmation, so that it takes effect at most once
 * @param intent what the operator wants
 * @param baseVersion the version of the configuration it was made from
 * @param changes the changes of the configuration
 * @param steps what will be done, in order
 * @param costPerHour what it adds to the cost an hour; negative saves; empty if not known
 * @param disturbs what it may disturb, a sentence each
 * @param operator who asked for it
 * @param createdAtMillis when it was made, in milliseconds since the epoch
 * @param expiresAtMillis when it can no longer be confirmed, in milliseconds since the epoch
 */
public record Plan(
    String id,
    Intent intent,
    long baseVersion,
    List<Change> changes,
    List<PlanStep> steps,
    Optional<Double> costPerHour,
    List<String> disturbs,
    String operator,
    long createdAtMillis,
    long expiresAtMillis) {
  /** Copies the lists, so that the record stays immutable. */
  public Plan {
    changes = List.copyOf(changes);
    steps = List.copyOf(steps);
    disturbs = List.copyOf(disturbs);
  }
}
