package org.heatherspread.core.rollout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Compares a new version with the others by the counts of all daemons. Immutable.
 *
 * @param result whether the version may replace the others
 * @param reason the counts that decided
 */
public record Verdict(Result result, String reason) {
  /** The result of a comparison. */
  public enum Result {
    /** The version is as good as the others on each route. */
    GOOD,
    /** The version fails or is slow more often than the others. */
    BAD,
    /** There are too few responses. */
    OPEN
  }

  /** Responses of a route without which its verdict is open. */
  private static final long MIN_OUTCOMES = 5;

  /** Requests of a route to all versions from which it has to be judged by itself. */
  private static final long MIN_ROUTE_REQUESTS = 30;

  /** Failures that any version may have. */
  private static final double FAILURE_FLOOR = 0.01;

  /** Slow responses that any version may have: one endpoint in ten may be slow at a time. */
  private static final double SLOW_FLOOR = 0.1;

  /** Factor by which the new version may exceed the others, as few endpoints vary more. */
  private static final double RATE_FACTOR = 1.5;

  /** Standard deviations above the expectation, about one false alarm in a hundred tests. */
  private static final double DEVIATIONS = 2.5;

  /**
   * Judges a version.
   *
   * @param counts counts of all daemons
   * @param to the new version
   * @param usedEndpoints number of its endpoints that received requests
   */
  static Verdict of(List<RouteCounts> counts, String to, int usedEndpoints) {
    Map<String, RouteCounts> fresh = new HashMap<>();
    Map<String, RouteCounts> others = new HashMap<>();
    for (RouteCounts each : counts) {
      Map<String, RouteCounts> side = each.version().equals(to) ? fresh : others;
      side.merge(each.route(), each, RouteCounts::plus);
    }
    Set<String> routes = new TreeSet<>(fresh.keySet());
    routes.addAll(others.keySet());
    List<String> open = new ArrayList<>();
    RouteCounts allFresh = RouteCounts.none(to, "all");
    RouteCounts allOthers = RouteCounts.none("", "all");
    for (String route : routes) {
      RouteCounts ofFresh = fresh.getOrDefault(route, RouteCounts.none(to, route));
      RouteCounts ofOthers = others.getOrDefault(route, RouteCounts.none("", route));
      if (isBad(ofFresh, ofOthers, usedEndpoints)) {
        return new Verdict(Result.BAD, describe(ofFresh, ofOthers));
      }
      boolean frequent = ofFresh.requests() + ofOthers.requests() >= MIN_ROUTE_REQUESTS;
      if (frequent && ofFresh.outcomes() < MIN_OUTCOMES) {
        open.add(describe(ofFresh, ofOthers));
      }
      allFresh = allFresh.plus(ofFresh);
      allOthers = allOthers.plus(ofOthers);
    }
    if (isBad(allFresh, allOthers, usedEndpoints)) {
      return new Verdict(Result.BAD, describe(allFresh, allOthers));
    }
    if (!open.isEmpty()) {
      return new Verdict(Result.OPEN, String.join("; ", open));
    }
    Result result = allFresh.outcomes() < MIN_OUTCOMES ? Result.OPEN : Result.GOOD;
    return new Verdict(result, describe(allFresh, allOthers));
  }

  /**
   * One endpoint that crashes or is slow for a while is no fault of the version if others of it are
   * in use.
   */
  private static boolean isBad(RouteCounts fresh, RouteCounts others, int usedEndpoints) {
    boolean spread = fresh.badEndpoints().size() >= Math.min(2, usedEndpoints);
    boolean fails =
        exceeds(
            fresh.failures(),
            fresh.outcomes(),
            others.failures(),
            others.outcomes(),
            FAILURE_FLOOR);
    boolean slow =
        exceeds(fresh.slow(), fresh.outcomes(), others.slow(), others.outcomes(), SLOW_FLOOR);
    return spread && (fails || slow);
  }

  private static boolean exceeds(
      long count, long total, long otherCount, long otherTotal, double floor) {
    double otherRate = (otherCount + 0.0) / Math.max(1, otherTotal);
    double rate = Math.min(0.9, Math.max(floor, RATE_FACTOR * otherRate));
    double expected = rate * total;
    return count > expected + DEVIATIONS * Math.sqrt(expected * (1 - rate)) + 1;
  }

  private static String describe(RouteCounts fresh, RouteCounts others) {
    return "%s: %d failed and %d slow of %d, others %d and %d of %d"
        .formatted(
            fresh.route(),
            fresh.failures(),
            fresh.slow(),
            fresh.outcomes(),
            others.failures(),
            others.slow(),
            others.outcomes());
  }
}
