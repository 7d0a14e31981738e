package org.heatherspread.core.limit;

/**
 * One daemon's demand on an account's limits and its share of them. Immutable.
 *
 * @param demand demand of the daemon's callers, refused requests included
 * @param share the daemon's share of the limits, an upper bound on what it admits
 */
public record LimitUsage(ResourceAmounts demand, ResourceAmounts share) {
  /** Returns the usage of a daemon with neither demand nor share. */
  public static LimitUsage none() {
    return new LimitUsage(ResourceAmounts.zero(), ResourceAmounts.zero());
  }
}
