package org.heatherspread.core.rollout;

/**
 * Bounds that the deployment sets for moves to another version. Immutable.
 *
 * @param canaryFraction share of all requests between the order and its deadline that a bad version
 *     may receive
 * @param canaryTolerance requests that it may receive besides
 * @param extensionMillis time by which store failures may extend a move
 */
public record RolloutBounds(double canaryFraction, double canaryTolerance, long extensionMillis) {}
