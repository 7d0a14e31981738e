package org.heatherspread.core.config;

/**
 * Determines whether calls of a plain service may be repeated; the first matching rule applies.
 * Immutable.
 *
 * @param method HTTP method, or {@code *} for all
 * @param pathPrefix prefix of the path below the service
 * @param repeatable whether a call that may have run may be sent again
 */
public record MethodRule(String method, String pathPrefix, boolean repeatable) {
  /** Returns whether the rule applies to a call. */
  public boolean matches(String callMethod, String callPath) {
    return ("*".equals(method) || method.equalsIgnoreCase(callMethod))
        && callPath.startsWith(pathPrefix);
  }
}
