package org.heatherspread.core.capacity;

/**
 * An instance of the fleet of a service. Immutable.
 *
 * @param id instance id
 * @param pool pool that it was bought from
 * @param state lifecycle state
 * @param inProgress number of requests in progress on it
 */
public record FleetInstance(String id, CapacityPool pool, State state, int inProgress) {
  /** Lifecycle state of an instance. */
  public enum State {
    /** Ordered or loading; counts as planned capacity, but does not serve yet. */
    STARTING,
    /** Takes requests. */
    SERVING,
    /** Takes no new requests, because a step drained it. */
    DRAINING,
    /** Being reclaimed by the platform. */
    RECLAIMED
  }

  /** Returns whether the instance counts as planned capacity. */
  boolean isPlanned() {
    return state == State.STARTING || state == State.SERVING;
  }
}
