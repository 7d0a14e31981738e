package org.heatherspread.core.limit;

/**
 * Decides which requests get what is left of one limit. An order never admits more than the limit
 * allows: the caller applies the limit to what the order admits. Implementations are confined to
 * one thread.
 */
public interface SpendingOrder {
  /**
   * Decides on a request; an admitted request is counted as spent.
   *
   * @param balance state of the limit before the request
   */
  SpendingDecision decide(LimitRequest request, Balance balance);

  /** Returns the order of arrival, which keeps no state. */
  static SpendingOrder byArrival() {
    return (request, balance) -> SpendingDecision.ADMITTED;
  }

  /** Returns a new order for one limit that prefers urgent requests. */
  static SpendingOrder byUrgency() {
    return new UrgencyOrder();
  }

  /**
   * State of a limit.
   *
   * @param available what is left, negative after a request that was larger than that
   * @param ratePerSecond amount that accumulates per second
   * @param capacity maximum that can accumulate
   * @param nowNanos monotonic time
   */
  record Balance(double available, double ratePerSecond, double capacity, long nowNanos) {}
}
