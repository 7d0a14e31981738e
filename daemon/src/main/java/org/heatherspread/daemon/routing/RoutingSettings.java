package org.heatherspread.daemon.routing;

import java.time.Duration;
import org.heatherspread.core.routing.RoutingWeights;
import org.heatherspread.settings.Section;

/**
 * How a daemon learns of endpoints and weighs them. Immutable.
 *
 * @param goal what the deployment pays for
 * @param pollInterval between rounds of reading load and cache events
 * @param maxPollsPerRound most endpoints read in one round; larger services are read in turns
 * @param maxIndexBytes memory bound of the prefix index
 * @param indexEntryLifetime how long a belief about a cache holds without being confirmed
 * @param expectedAnswerTokens answer tokens expected where the caller allows more
 * @param reclaimsPerHour expected reclaims of a reclaimable instance an hour
 */
public record RoutingSettings(
    Goal goal,
    Duration pollInterval,
    int maxPollsPerRound,
    int maxIndexBytes,
    Duration indexEntryLifetime,
    int expectedAnswerTokens,
    double reclaimsPerHour) {

  /** What a deployment weighs most. */
  public enum Goal {
    /** Price of answers within the latency target. */
    COST_AT_TARGET,
    /** Prompt tokens that are computed again. */
    RECOMPUTED_TOKENS
  }

  /** Returns the settings used where the file gives none. */
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
    RoutingSettings base = defaults();
    return new RoutingSettings(
        section.choice("goal", base.goal),
        section.duration(
            "poll_interval", base.pollInterval, Duration.ofMillis(100), Duration.ofMinutes(1)),
        section.integer("polls_per_round", base.maxPollsPerRound, 1, 2_000),
        section.integer("index_bytes", base.maxIndexBytes, 1 << 16, 256 << 20),
        section.duration(
            "index_lifetime", base.indexEntryLifetime, Duration.ofSeconds(10), Duration.ofHours(8)),
        section.integer("answer_tokens", base.expectedAnswerTokens, 1, 100_000),
        section.decimal("reclaims_per_hour", base.reclaimsPerHour, 0, 3_600));
  }

  /** Returns the weights of the goal. */
  RoutingWeights weights() {
    return goal == Goal.COST_AT_TARGET
        ? RoutingWeights.costAtTarget()
        : RoutingWeights.recomputedTokens();
  }
}
