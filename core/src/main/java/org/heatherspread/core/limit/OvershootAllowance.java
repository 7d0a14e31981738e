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
  /** Fraction of the allowance given to the burst. */
  private static final double BURST_FRACTION = 0.3;

  /**
   * Fraction of the allowance for what daemons admit without the limit owner. The rest covers the
   * last request that an owner admits, which may exceed what its bucket holds.
   */
  private static final double FALLBACK_FRACTION = 0.5;

  private static final long MILLIS_PER_SECOND = 1_000;

  /**
   * Returns the burst enlarged by a fraction of the allowance, so that single large requests are
   * admitted.
   */
  public double effectiveBurst(double ratePerSecond, double burst) {
    return burst + BURST_FRACTION * windowAllowance(ratePerSecond, burst);
  }

  /** Returns the amount that all daemons together may admit in a window without the limit owner. */
  double fallbackReserve(double ratePerSecond, double burst) {
    return FALLBACK_FRACTION * windowAllowance(ratePerSecond, burst);
  }

  /** Returns the length of the window in milliseconds. */
  long windowMillis() {
    return (long) (windowSeconds * MILLIS_PER_SECOND);
  }

  private double windowAllowance(double ratePerSecond, double burst) {
    return relativeOvershoot * (ratePerSecond * windowSeconds + burst) + absoluteOvershoot;
  }
}
