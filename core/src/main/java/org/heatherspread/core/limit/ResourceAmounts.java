package org.heatherspread.core.limit;

import org.heatherspread.core.config.AccountLimits;

/**
 * One figure for each thing that is limited. Immutable.
 *
 * @param requests requests a second
 * @param tokens prompt and answer tokens a second
 * @param concurrency requests in progress at once
 */
public record ResourceAmounts(double requests, double tokens, double concurrency) {
  private static final ResourceAmounts ZERO = new ResourceAmounts(0, 0, 0);

  /** Returns zero of everything. */
  public static ResourceAmounts zero() {
    return ZERO;
  }

  /** Returns an account's confirmed limits. */
  public static ResourceAmounts of(AccountLimits limits) {
    return new ResourceAmounts(
        limits.requestsPerSecond(), limits.tokensPerSecond(), limits.concurrency());
  }

  /** Returns these amounts times a factor. */
  public ResourceAmounts times(double factor) {
    return new ResourceAmounts(requests * factor, tokens * factor, concurrency * factor);
  }

  /** Returns the sum of both. */
  public ResourceAmounts plus(ResourceAmounts other) {
    return new ResourceAmounts(
        requests + other.requests, tokens + other.tokens, concurrency + other.concurrency);
  }

  /** Returns the smaller of both, one by one. */
  public ResourceAmounts min(ResourceAmounts other) {
    return combine(other, Math::min);
  }

  /** Returns the larger of both, one by one. */
  public ResourceAmounts max(ResourceAmounts other) {
    return combine(other, Math::max);
  }

  /** Combines each figure with the other's. */
  ResourceAmounts combine(ResourceAmounts other, java.util.function.DoubleBinaryOperator how) {
    return new ResourceAmounts(
        how.applyAsDouble(requests, other.requests),
        how.applyAsDouble(tokens, other.tokens),
        how.applyAsDouble(concurrency, other.concurrency));
  }
}
