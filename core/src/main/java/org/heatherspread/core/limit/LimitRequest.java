package org.heatherspread.core.limit;

import java.util.OptionalInt;

/**
 * A request for an amount of a limit. Immutable.
 *
 * @param amount requests or tokens, in the unit of the limit
 * @param urgency priority, 0 is the most urgent; empty if it is not known, as in requests of
 *     daemons of earlier versions
 * @param maxWaitSeconds time within which the caller can return in time if it is refused, 0 if it
 *     is not known
 */
public record LimitRequest(double amount, OptionalInt urgency, double maxWaitSeconds) {
  /** Returns a request whose urgency and time are not known. */
  public static LimitRequest of(double amount) {
    return new LimitRequest(amount, OptionalInt.empty(), 0);
  }
}
