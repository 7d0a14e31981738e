package org.heatherspread.core.fleet;

/**
 * The load that one daemon puts on one endpoint. Immutable; stored as JSON under the names of its
 * components.
 *
 * @param running requests sent and not ended
 * @param promptTokens prompt tokens of these requests that are yet to be prefilled
 */
public record EndpointLoad(int running, long promptTokens) {
  /** No load. */
  public static final EndpointLoad NONE = new EndpointLoad(0, 0);

  /** Returns the sum of two loads. */
  public EndpointLoad plus(EndpointLoad other) {
    return new EndpointLoad(running + other.running, promptTokens + other.promptTokens);
  }
}
