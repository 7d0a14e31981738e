package org.heatherspread.core.capacity;

/**
 * One instance of the fleet as the planner sees it. Immutable.
 *
 * @param id instance id
 * @param pool what was bought
 * @param state where it is in its life
 * @param inProgress requests in progress there
 */
public record FleetInstance(String id, CapacityPool pool, State state, int inProgress) {
  /** The life of an instance of the fleet. */
  public enum State {
    /** Ordered or loading; counts towards the plan, not yet towards the target. */
    STARTING,
    /** Takes requests. */
    SERVING,
    /** Takes no new requests, since a step said so. */
    DRAINING,
    /** Under notice by the platform. */
    RECLAIMED
  }

  /** Tells whether the instance counts as planned capacity. */
  boolean isPlanned() {
    return state == State.STARTING || state == State.SERVING;
  }
}
