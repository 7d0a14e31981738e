package org.heatherspread.core.config;

/**
 * Says whether calls of a plain service may be repeated; the first matching rule holds. Immutable.
 *
 * @param method HTTP method, or {@code *} for all
 * @param pathPrefix prefix of the path below the service
 * @param repeatable whether a call that may have run may be sent again
 */
public record MethodRule(String method, String pathPrefix, boolean repeatable) {
  /** Tells whether the rule speaks of this call. */
  public boolean matches(String callMethod, String callPath) {
    return ("*".equals(method) || method.equalsIgnoreCase(callMethod))
        && callPath.startsWith(pathPrefix);
  }
}
