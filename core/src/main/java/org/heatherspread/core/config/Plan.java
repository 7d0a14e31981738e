package org.heatherspread.core.config;

import java.util.List;
import java.util.Optional;

/**
 * The effects of an intent, which are carried out once an operator confirms them. Immutable.
 *
 * @param id random id; also the write id of the confirmation, so that the plan takes effect at most
 *     once
 * @param intent intent that the plan was made for
 * @param baseVersion version of the configuration that the plan was made from
 * @param changes changes of the configuration
 * @param steps steps in the order in which they are carried out
 * @param costPerHour change of the cost per hour, negative for savings; empty if unknown
 * @param disturbs possible disruptions, one description each
 * @param operator operator who requested the plan
 * @param createdAtMillis time of creation, in milliseconds since the epoch
 * @param expiresAtMillis time after which it cannot be confirmed, in milliseconds since the epoch
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
  /** Copies the lists, so that the record is immutable. */
  public Plan {
    changes = List.copyOf(changes);
    steps = List.copyOf(steps);
    disturbs = List.copyOf(disturbs);
  }
}
