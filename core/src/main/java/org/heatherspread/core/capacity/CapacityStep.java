package org.heatherspread.core.capacity;

/**
 * One change to a fleet, carried out by the daemon that holds the lease of the service. Immutable.
 */
public sealed interface CapacityStep {
  /** Starts an instance. */
  record Start(CapacityPool pool) implements CapacityStep {}

  /** Stops sending new requests to an instance and lets those in progress finish. */
  record Drain(String instanceId) implements CapacityStep {}

  /** Stops an instance that is drained. */
  record Stop(String instanceId) implements CapacityStep {}
}
