package org.heatherspread.core.limit;

/**
 * What one daemon wants of an account's limits and what it holds. Immutable.
 *
 * @param demand what callers ask of the daemon, refused requests included
 * @param share the part of the limits that the daemon holds; never more than it may use
 */
public record LimitUsage(ResourceAmounts demand, ResourceAmounts share) {
  /** Returns the usage of a daemon that neither wants nor holds anything. */
  public static LimitUsage none() {
    return new LimitUsage(ResourceAmounts.zero(), ResourceAmounts.zero());
  }
}
