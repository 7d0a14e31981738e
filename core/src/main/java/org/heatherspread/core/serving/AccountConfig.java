package org.heatherspread.core.serving;

import java.util.Set;
import org.heatherspread.core.limit.RateLimit;

/**
 * A client account with its keys and its limit across all daemons. Immutable.
 *
 * @param name name of the account
 * @param keys API keys of the account
 * @param priority priority that overrides that of the route, -1 if not set
 * @param countsTokens whether the limit counts tokens instead of requests
 * @param defaultTokens tokens charged for a request that states none
 * @param ratePerSecond limit in tokens or requests per second, 0 for no limit
 * @param burst maximum of tokens or requests that can accumulate for a burst
 */
public record AccountConfig(
    String name,
    Set<String> keys,
    int priority,
    boolean countsTokens,
    int defaultTokens,
    double ratePerSecond,
    double burst)
    implements RateLimit {
  /** Copies the keys, so that the record is immutable. */
  public AccountConfig {
    keys = Set.copyOf(keys);
  }
}
