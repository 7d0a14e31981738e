package org.heatherspread.core.rollout;

/**
 * An operator's order to move a service to a version. Immutable.
 *
 * @param id identity of the row that holds the order, different after each write
 * @param era era of the store in which the row was read
 * @param service name of the service
 * @param to version to move to; empty if the row is not readable
 * @param durationMillis time for the move; 0 or less if it is absent or invalid
 * @param problem what is wrong with the row, empty if nothing is
 */
public record RolloutOrder(
    String id, long era, String service, String to, long durationMillis, String problem) {
  /** Returns whether another row has the same content. */
  boolean hasContentOf(RolloutState state) {
    return to.equals(state.to()) && durationMillis == state.durationMillis();
  }
}
