package org.heatherspread.core.serving;

import java.util.Set;

/**
 * A client account: its keys and its limit over all daemons.
 *
 * @param priority rank that goes before the route's, -1 if not stated
 * @param countsTokens whether the limit counts tokens instead of requests
 * @param defaultTokens tokens that a request counts which states none
 * @param ratePerSecond limit in tokens or requests a second, 0 for none
 * @param burst most that may be saved up
 */
public record AccountConfig(
    String name,
    Set<String> keys,
    int priority,
    boolean countsTokens,
    int defaultTokens,
    double ratePerSecond,
    double burst) {
  /** Copies the keys. */
  public AccountConfig {
    keys = Set.copyOf(keys);
  }
}
