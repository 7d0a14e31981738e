package org.heatherspread.core.fleet;

/**
 * Responses and failures of an endpoint within about the last second. The weight of each decreases
 * exponentially with its age, so that sums over daemons describe the endpoint. Immutable; stored as
 * JSON under the names of its components.
 *
 * @param responses weight of the responses
 * @param logSlowness sum of the natural logarithms of observed over expected times, weighted alike
 * @param failures weight of the failures
 */
public record RecentOutcomes(double responses, double logSlowness, double failures) {
  /** Nothing recent. */
  public static final RecentOutcomes NONE = new RecentOutcomes(0, 0, 0);

  /** Returns the sum of the outcomes that two daemons saw. */
  public RecentOutcomes plus(RecentOutcomes other) {
    if (other.isEmpty()) {
      return this;
    }
    return new RecentOutcomes(
        responses + other.responses, logSlowness + other.logSlowness, failures + other.failures);
  }

  /** Returns whether nothing is known. */
  public boolean isEmpty() {
    return responses == 0 && failures == 0;
  }
}
