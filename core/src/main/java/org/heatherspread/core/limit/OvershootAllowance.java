package org.heatherspread.core.limit;

/**
 * Amount by which all daemons together may exceed an account's limit in a window. Immutable.
 *
 * @param windowSeconds length of the window over which limits are measured
 * @param relativeOvershoot permitted excess as a fraction of the limit
 * @param absoluteOvershoot further permitted excess, in the limit's unit
 */
public record OvershootAllowance(
    double windowSeconds, double relativeOvershoot, double absoluteOvershoot) {
  /**
   * Fraction of the allowance given to the burst; the rest covers the requests that daemons admit
   * while they cannot reach the limit owner.
   */
  private static final double BURST_FRACTION = 0.3;

  /**
   * Returns the burst enlarged by a fraction of the allowance, so that single large requests are
   * admitted.
   */
  public double effectiveBurst(double ratePerSecond, double burst) {
    double window = ratePerSecond * windowSeconds + burst;
    return burst + BURST_FRACTION * (relativeOvershoot * window + absoluteOvershoot);
  }
}
