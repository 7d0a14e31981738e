package org.heatherspread.core.limit;

import java.util.OptionalDouble;
import java.util.OptionalInt;

/**
 * Decision on a request for an amount of a limit. Immutable.
 *
 * @param cause why the request was refused, {@code NONE} if it was admitted
 * @param waitSeconds time until the limit admits again, empty if admitted
 * @param claimed whether tokens are kept for the request until it returns after the wait
 * @param heldFor urgency for which the tokens are held that the request did not get, empty if there
 *     were none or if it is not known
 */
public record SpendingDecision(
    Cause cause, OptionalDouble waitSeconds, boolean claimed, OptionalInt heldFor) {
  /** The decision for every admitted request. */
  public static final SpendingDecision ADMITTED =
      new SpendingDecision(Cause.NONE, OptionalDouble.empty(), false, OptionalInt.empty());

  /** Lower bound on the wait of a refused request, so that callers never retry immediately. */
  private static final double MIN_RETRY_SECONDS = 0.05;

  /** Why a request was refused. */
  public enum Cause {
    /** The request was admitted. */
    NONE,
    /** Nothing is left of the limit. */
    EXHAUSTED,
    /** What is left is held for requests of another urgency. */
    URGENCY,
    /** What is left accumulates for a larger request that was refused before. */
    CLAIM,
    /** The owner of the limit does not decide, and this daemon may not admit the request. */
    NO_OWNER
  }

  /** Returns whether the request was admitted. */
  public boolean admitted() {
    return cause == Cause.NONE;
  }

  static SpendingDecision refused(Cause cause, double seconds) {
    return refused(cause, seconds, false, OptionalInt.empty());
  }

  static SpendingDecision refused(
      Cause cause, double seconds, boolean claimed, OptionalInt heldFor) {
    double waitSeconds = Math.max(MIN_RETRY_SECONDS, seconds);
    return new SpendingDecision(cause, OptionalDouble.of(waitSeconds), claimed, heldFor);
  }
}
