package org.heatherspread.core.rollout;

import java.util.HashSet;
import java.util.Objects;
import java.util.Set;

/**
 * Counts of one route at one version since the order. Immutable; sent as JSON under the names of
 * its components.
 *
 * @param requests requests sent to the version's endpoints
 * @param outcomes requests with a first response or a failure
 * @param failures responses that failed, also after their first event
 * @param slow first responses that took several times as long as is usual for the versions in force
 * @param badEndpoints some endpoints with a failed or slow response
 */
public record RouteCounts(
    String version,
    String route,
    long requests,
    long outcomes,
    long failures,
    long slow,
    Set<String> badEndpoints) {
  /** Checks the names and copies the set. */
  public RouteCounts {
    Objects.requireNonNull(version, "version");
    Objects.requireNonNull(route, "route");
    badEndpoints = badEndpoints == null ? Set.of() : Set.copyOf(badEndpoints);
  }

  static RouteCounts none(String version, String route) {
    return new RouteCounts(version, route, 0, 0, 0, 0, Set.of());
  }

  RouteCounts plus(RouteCounts other) {
    Set<String> endpoints = new HashSet<>(badEndpoints);
    endpoints.addAll(other.badEndpoints);
    return new RouteCounts(
        version,
        route,
        requests + other.requests,
        outcomes + other.outcomes,
        failures + other.failures,
        slow + other.slow,
        endpoints);
  }

  /** Returns the counts since an earlier time, with all endpoints. */
  RouteCounts minus(RouteCounts earlier) {
    return new RouteCounts(
        version,
        route,
        Math.max(0, requests - earlier.requests),
        Math.max(0, outcomes - earlier.outcomes),
        Math.max(0, failures - earlier.failures),
        Math.max(0, slow - earlier.slow),
        badEndpoints);
  }
}
