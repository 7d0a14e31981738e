package org.heatherspread.daemon.routing;

import java.time.Duration;
import org.heatherspread.core.routing.RoutingWeights;
import org.heatherspread.settings.Section;

/**
 * Settings of endpoint telemetry and routing. Immutable.
 *
 * @param goal quantity to minimize
 * @param pollInterval interval between rounds that poll engines for load and cache events
 * @param maxPollsPerRound maximum number of engines polled in one round; more are polled in turn
 * @param maxIndexBytes maximum memory of the prefix index
 * @param indexEntryLifetime time after which an unconfirmed entry of the prefix index expires
 * @param expectedAnswerTokens answer tokens expected of a request that allows more
 * @param reclaimsPerHour expected reclaims per hour of a reclaimable instance
 */
public record RoutingSettings(
    Goal goal,
    Duration pollInterval,
    int maxPollsPerRound,
    int maxIndexBytes,
    Duration indexEntryLifetime,
    int expectedAnswerTokens,
    double reclaimsPerHour) {

  /** Optimization goals. */
  public enum Goal {
    /** Minimizes the price of answers within the latency target. */
    COST_AT_TARGET,
    /** Minimizes the prompt tokens that are computed more than once. */
    RECOMPUTED_TOKENS
  }

  /** Returns the defaults of settings that the file omits. */
  public static RoutingSettings defaults() {
    return new RoutingSettings(
        Goal.COST_AT_TARGET,
        Duration.ofSeconds(1),
        32,
        32 << 20,
        Duration.ofMinutes(10),
        150,
        0.05);
  }

  /** Reads the section {@code [routing]}. */
  public static RoutingSettings read(Section section) {
    RoutingSettings defaults = defaults();
    return new RoutingSettings(
        section.choice("goal", defaults.goal),
        section.duration(
            "poll_interval", defaults.pollInterval, Duration.ofMillis(100), Duration.ofMinutes(1)),
        section.integer("polls_per_round", defaults.maxPollsPerRound, 1, 2_000),
        section.integer("index_bytes", defaults.maxIndexBytes, 1 << 16, 256 << 20),
        section.duration(
            "index_lifetime",
            defaults.indexEntryLifetime,
            Duration.ofSeconds(10),
            Duration.ofHours(8)),
        section.integer("answer_tokens", defaults.expectedAnswerTokens, 1, 100_000),
        section.decimal("reclaims_per_hour", defaults.reclaimsPerHour, 0, 3_600));
  }

  /** Returns the weights of the goal. */
  RoutingWeights weights() {
    return goal == Goal.COST_AT_TARGET
        ? RoutingWeights.costAtTarget()
        : RoutingWeights.recomputedTokens();
  }
}
