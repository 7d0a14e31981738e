package org.heatherspread.core.placement;

import java.util.function.LongSupplier;

/**
 * Compares the tokens that running requests hold at an engine with its cache. A full engine
 * preempts the newest of the least urgent requests and prefills it again later. Stateless.
 */
final class EngineMemory {
  /**
   * Times of the prefill of the tokens beyond the cache that a preemption costs. With 2, less than
   * the difference of nearly equal endpoints, long prompts caused more preemptions than without
   * regard to memory.
   */
  private static final double PREEMPTION_WEIGHT = 30;

  /** Share of the cache beyond which the requests of other daemons, not known yet, may fill it. */
  private static final double USABLE_SHARE = 0.7;

  private final LongSupplier cacheTokens;

  private EngineMemory(LongSupplier cacheTokens) {
    this.cacheTokens = cacheTokens;
  }

  /**
   * Creates a comparison.
   *
   * @param cacheTokens supplies the size of an engine's cache in tokens, 0 if unknown
   */
  static EngineMemory create(LongSupplier cacheTokens) {
    return new EngineMemory(cacheTokens);
  }

  /**
   * Returns the cost of the preemptions that a request is expected to cause, 0 if it fits.
   *
   * @param heldTokens tokens held by the requests in progress
   * @param uncachedTokens tokens that the request adds before its answer
   */
  double preemptionMillis(
      EnginePerformance performance, double heldTokens, Workload work, int uncachedTokens) {
    long capacity = cacheTokens.getAsLong();
    double excess = heldTokens + uncachedTokens + work.answerTokens() - USABLE_SHARE * capacity;
    if (capacity <= 0 || excess <= 0) {
      return 0;
    }
    double again = Math.max(excess, uncachedTokens);
    return PREEMPTION_WEIGHT * performance.prefillMillis((long) again);
  }
}
