package org.heatherspread.core.fleet;

/**
 * Work of the requests that one daemon sent to one endpoint within about the last seconds, weighted
 * by age. Immutable; stored as JSON under the names of its components.
 *
 * @param tokens prompt tokens to be prefilled, and the work of the answers in such tokens
 * @param longTokens part of {@code tokens} that belongs to requests with long prompts
 */
public record RecentDemand(long tokens, long longTokens) {
  /** No demand. */
  public static final RecentDemand NONE = new RecentDemand(0, 0);

  /** Returns the sum of the demand of two daemons. */
  public RecentDemand plus(RecentDemand other) {
    return new RecentDemand(tokens + other.tokens, longTokens + other.longTokens);
  }
}
