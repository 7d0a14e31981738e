package org.heatherspread.core.limit;

import org.heatherspread.core.config.AccountLimits;

/**
 * One figure for each thing that is limited. Immutable.
 *
 * @param requests requests a second
 * @param tokens prompt and answer tokens a second
 * @param concurrency requests in progress at once
 */
public record Amounts(double requests, double tokens, double concurrency) {
  private static final Amounts ZERO = new Amounts(0, 0, 0);

  /** Returns zero of everything. */
  public static Amounts zero() {
    return ZERO;
  }

  /** Returns an account's confirmed limits. */
  public static Amounts of(AccountLimits limits) {
    return new Amounts(limits.requestsPerSecond(), limits.tokensPerSecond(), limits.concurrency());
  }

  /** Returns these amounts times a factor. */
  public Amounts times(double factor) {
    return new Amounts(requests * factor, tokens * factor, concurrency * factor);
  }

  /** Returns the sum of both. */
  public Amounts plus(Amounts other) {
    return new Amounts(
        requests + other.requests, tokens + other.tokens, concurrency + other.concurrency);
  }

  /** Returns the smaller of both, one by one. */
  public Amounts min(Amounts other) {
    return combine(other, Math::min);
  }

  /** Returns the larger of both, one by one. */
  public Amounts max(Amounts other) {
    return combine(other, Math::max);
  }

  /** Combines each figure with the other's. */
  Amounts combine(Amounts other, java.util.function.DoubleBinaryOperator how) {
    return new Amounts(
        how.applyAsDouble(requests, other.requests),
        how.applyAsDouble(tokens, other.tokens),
        how.applyAsDouble(concurrency, other.concurrency));
  }
}
