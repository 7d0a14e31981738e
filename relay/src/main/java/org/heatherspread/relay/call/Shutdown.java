package org.heatherspread.relay.call;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.heatherspread.core.time.MonotonicClock;

/**
 * What a daemon that stops still accepts, and how its remaining requests end.
 *
 * <p>Requests that were read in the first part of the grace period are passed on, as callers cannot
 * know of the stop yet. Later ones are passed on only if they certainly end within the grace period
 * and are refused otherwise, since the end of the process would cut them off after an endpoint may
 * have run them. At its end, each request without a response gets one, which tells whether it may
 * have run; streams that have begun go on for as long as the process does. Confined to the event
 * loop.
 */
public final class Shutdown {
  private final MonotonicClock clock;
  private final Set<RelayCall> calls = new HashSet<>();
  private long acceptUntilMillis = Long.MAX_VALUE;
  private long endMillis = Long.MAX_VALUE;

  private Shutdown(MonotonicClock clock) {
    this.clock = clock;
  }

  /** Creates the state of a daemon that does not stop. */
  static Shutdown create(MonotonicClock clock) {
    return new Shutdown(clock);
  }

  /**
   * Starts the grace period.
   *
   * @param acceptMillis time for which all requests are passed on
   * @param graceMillis time after which {@link #endCalls} is called
   */
  public void begin(long acceptMillis, long graceMillis) {
    acceptUntilMillis = clock.millis() + acceptMillis;
    endMillis = clock.millis() + graceMillis;
  }

  /** Ends the requests in progress that have no response yet with one. */
  public void endCalls() {
    List.copyOf(calls).stream()
        .filter(call -> !call.hasStreamStarted())
        .forEach(RelayCall::onShutdown);
  }

  /** Ends all requests in progress, which cuts streams that have begun. */
  public void cutStreams() {
    List.copyOf(calls).forEach(RelayCall::onShutdown);
  }

  /** Returns whether no request is in progress, from callers or other daemons. */
  public boolean isIdle() {
    return calls.isEmpty();
  }

  /** Returns whether a request that ends by its deadline may be passed on now. */
  boolean accepts(long deadlineMillis) {
    return clock.millis() < acceptUntilMillis || deadlineMillis < endMillis;
  }

  void add(RelayCall call) {
    calls.add(call);
  }

  void remove(RelayCall call) {
    calls.remove(call);
  }
}
