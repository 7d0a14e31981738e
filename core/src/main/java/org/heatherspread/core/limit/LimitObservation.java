package org.heatherspread.core.limit;

import java.util.Objects;

/**
 * What a daemon last learned about the limit of an endpoint. Immutable; sent to other daemons as
 * JSON under the names of its components.
 *
 * @param endpoint id of the endpoint
 * @param startedAtMillis start time of its incarnation in milliseconds since the epoch
 * @param ratePerSecond limit that the endpoint named in requests per second, {@link #NONE} if it
 *     named none any longer
 * @param ageMillis time since the response from which the daemon learned it
 */
public record LimitObservation(
    String endpoint, long startedAtMillis, double ratePerSecond, long ageMillis) {
  /** Rate of an endpoint that names no limit any longer. */
  public static final double NONE = -1;

  /** Checks the endpoint. */
  public LimitObservation {
    Objects.requireNonNull(endpoint, "endpoint");
  }
}
