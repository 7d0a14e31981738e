package org.heatherspread.core.capacity;

/** One step of the planner, carried out by the holder of the service's lease. */
public sealed interface CapacityStep {
  /** Orders an instance. */
  record Start(CapacityPool pool) implements CapacityStep {}

  /** Sends no new requests to an instance and lets those in progress end. */
  record Drain(String instanceId) implements CapacityStep {}

  /** Gives back an instance that is drained. */
  record Stop(String instanceId) implements CapacityStep {}
}
