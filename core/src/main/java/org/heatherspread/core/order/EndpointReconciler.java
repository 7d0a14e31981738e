package org.heatherspread.core.order;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.heatherspread.core.config.ServiceSpec;

/**
 * Reconciles one endpoint with its desired state while this daemon holds the lease. Every order
 * contains the whole desired state and is therefore idempotent, even if another lease holder failed
 * halfway.
 *
 * <p>An endpoint that checks fencing tokens rejects orders of a former lease holder itself. Another
 * endpoint may still execute an order that a former holder sent just before its lease expired; a
 * new holder therefore waits until such an order has arrived or timed out before it first reads the
 * state. It sends an order if the state differs from the desired one, and keeps reading the state
 * for as long as it holds the lease. Not thread-safe.
 */
public final class EndpointReconciler {
  /** An action for the caller to carry out. */
  public sealed interface Action {
    /** Read the endpoint's state, then call {@link #onStateRead} or {@link #onReadFailure}. */
    record ReadState() implements Action {}

    /** Send an order with a fencing token. */
    record SendOrder(long fencing, EndpointState desired) implements Action {}
  }

  private final boolean checksFencing;
  private final Duration orderTimeout;
  private final Duration readInterval;
  private long epoch = -1;
  private long earliestReadMillis;
  private long nextReadMillis;
  private boolean readPending;

  private EndpointReconciler(boolean checksFencing, Duration orderTimeout, Duration readInterval) {
    this.checksFencing = checksFencing;
    this.orderTimeout = orderTimeout;
    this.readInterval = readInterval;
  }

  /**
   * Creates the reconciler of one endpoint.
   *
   * @param checksFencing whether the deployment's endpoints reject stale fencing tokens
   * @param orderTimeout longest time after which an order that was sent can still arrive
   * @param readInterval time between two reads of the state
   */
  public static EndpointReconciler create(
      boolean checksFencing, Duration orderTimeout, Duration readInterval) {
    return new EndpointReconciler(checksFencing, orderTimeout, readInterval);
  }

  /**
   * Returns the action that is due, if any.
   *
   * @param fencing fencing token of the lease, empty while it is not held
   * @param acquiredMillis time at which the lease was acquired, on the clock of {@code nowMillis}
   */
  public Optional<Action> nextAction(OptionalLong fencing, long acquiredMillis, long nowMillis) {
    if (fencing.isEmpty()) {
      epoch = -1;
      readPending = false;
      return Optional.empty();
    }
    if (fencing.getAsLong() != epoch) {
      epoch = fencing.getAsLong();
      readPending = false;
      nextReadMillis = 0;
      earliestReadMillis = checksFencing ? 0 : acquiredMillis + orderTimeout.toMillis();
    }
    if (readPending || nowMillis < earliestReadMillis || nowMillis < nextReadMillis) {
      return Optional.empty();
    }
    readPending = true;
    return Optional.of(new Action.ReadState());
  }

  /** Handles the state that was read; returns an order if it differs from the desired state. */
  public Optional<Action> onStateRead(
      EndpointState state, ServiceSpec service, OptionalLong fencing, long nowMillis) {
    readPending = false;
    nextReadMillis = nowMillis + readInterval.toMillis();
    EndpointState desired = state.desiredFor(service);
    boolean stale = fencing.isEmpty() || fencing.getAsLong() != epoch;
    if (stale || state.satisfies(desired)) {
      return Optional.empty();
    }
    return Optional.of(new Action.SendOrder(epoch, desired));
  }

  /** Handles a failed read, which is repeated after the read interval. */
  public void onReadFailure(long nowMillis) {
    readPending = false;
    nextReadMillis = nowMillis + readInterval.toMillis();
  }
}
