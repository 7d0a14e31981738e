package org.heatherspread.core.order;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.heatherspread.core.config.ServiceSpec;

/**
 * Brings one endpoint to its desired state and keeps it there while this daemon holds the lease.
 * Each order states the whole desired state, so that repeating one, or giving it after another
 * giver died halfway, does no harm.
 *
 * <p>An endpoint that checks fencing numbers refuses a former holder itself. One that ignores them
 * may still carry out an order that a former holder sent just before its lease lapsed; so the new
 * holder waits until such an order has arrived or timed out, reads the state back, orders where it
 * differs, and goes on reading for as long as it holds the lease. Not safe for use by several
 * threads.
 */
public final class EndpointReconciler {
  /** What to do next. */
  public sealed interface Action {
    /** Read the endpoint's state. */
    record ReadState() implements Action {}

    /** Give an order with a fencing number. */
    record SendOrder(long fencing, EndpointState desired) implements Action {}
  }

  private final boolean checksFencing;
  private final Duration orderTimeout;
  private final Duration readInterval;
  private long epoch = -1;
  private long quietUntilMillis;
  private long nextReadMillis;
  private boolean waiting;

  private EndpointReconciler(boolean checksFencing, Duration orderTimeout, Duration readInterval) {
    this.checksFencing = checksFencing;
    this.orderTimeout = orderTimeout;
    this.readInterval = readInterval;
  }

  /**
   * Creates the giver for one endpoint.
   *
   * @param checksFencing whether the deployment's endpoints refuse old fencing numbers
   * @param orderTimeout how long an order may be on its way
   * @param readInterval how often the state is read back
   */
  public static EndpointReconciler create(
      boolean checksFencing, Duration orderTimeout, Duration readInterval) {
    return new EndpointReconciler(checksFencing, orderTimeout, readInterval);
  }

  /**
   * Returns what is to be done now, if anything.
   *
   * @param fencing the fencing number while the lease is held
   * @param acquiredMillis when it was acquired, on the same clock
   */
  public Optional<Action> nextAction(OptionalLong fencing, long acquiredMillis, long nowMillis) {
    if (fencing.isEmpty()) {
      epoch = -1;
      waiting = false;
      return Optional.empty();
    }
    if (fencing.getAsLong() != epoch) {
      epoch = fencing.getAsLong();
      waiting = false;
      nextReadMillis = 0;
      quietUntilMillis = checksFencing ? 0 : acquiredMillis + orderTimeout.toMillis();
    }
    if (waiting || nowMillis < quietUntilMillis || nowMillis < nextReadMillis) {
      return Optional.empty();
    }
    waiting = true;
    return Optional.of(new Action.ReadState());
  }

  /** Takes a state that was read, and returns the order that it calls for, if any. */
  public Optional<Action> onStateRead(
      EndpointState state, ServiceSpec service, OptionalLong fencing, long nowMillis) {
    waiting = false;
    nextReadMillis = nowMillis + readInterval.toMillis();
    EndpointState desired = state.desiredFor(service);
    boolean stale = fencing.isEmpty() || fencing.getAsLong() != epoch;
    if (stale || state.satisfies(desired)) {
      return Optional.empty();
    }
    return Optional.of(new Action.SendOrder(epoch, desired));
  }

  /** Notes that a read failed; it is repeated after the interval. */
  public void onReadFailure(long nowMillis) {
    waiting = false;
    nextReadMillis = nowMillis + readInterval.toMillis();
  }
}
