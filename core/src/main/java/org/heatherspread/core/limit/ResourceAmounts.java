package org.heatherspread.core.limit;

import org.heatherspread.core.config.AccountLimits;

/**
 * Amounts of the three resources that an account's limits bound. Immutable.
 *
 * @param requests requests per second
 * @param tokens prompt and answer tokens per second
 * @param concurrency requests in progress
 */
public record ResourceAmounts(double requests, double tokens, double concurrency) {
  private static final ResourceAmounts ZERO = new ResourceAmounts(0, 0, 0);

  /** Returns zero of each resource. */
  public static ResourceAmounts zero() {
    return ZERO;
  }

  /** Returns an account's limits as amounts. */
  public static ResourceAmounts of(AccountLimits limits) {
    return new ResourceAmounts(
        limits.requestsPerSecond(), limits.tokensPerSecond(), limits.concurrency());
  }

  /** Returns the amount of each resource times a factor. */
  public ResourceAmounts times(double factor) {
    return new ResourceAmounts(requests * factor, tokens * factor, concurrency * factor);
  }

  /** Returns the sum of the amounts of each resource. */
  public ResourceAmounts plus(ResourceAmounts other) {
    return new ResourceAmounts(
        requests + other.requests, tokens + other.tokens, concurrency + other.concurrency);
  }

  /** Returns the smaller amount of each resource. */
  public ResourceAmounts min(ResourceAmounts other) {
    return combine(other, Math::min);
  }

  /** Returns the larger amount of each resource. */
  public ResourceAmounts max(ResourceAmounts other) {
    return combine(other, Math::max);
  }

  /** Applies an operator to the two amounts of each resource. */
  ResourceAmounts combine(ResourceAmounts other, java.util.function.DoubleBinaryOperator operator) {
    return new ResourceAmounts(
        operator.applyAsDouble(requests, other.requests),
        operator.applyAsDouble(tokens, other.tokens),
        operator.applyAsDouble(concurrency, other.concurrency));
  }
}
