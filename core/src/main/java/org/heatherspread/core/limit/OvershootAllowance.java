package org.heatherspread.core.limit;

/**
 * By how much all daemons together may exceed a limit in a window.
 *
 * @param windowSeconds length of the window in which limits are judged
 * @param overshoot share of the limit by which a window may exceed it
 * @param tolerance amount by which it may exceed it besides, in the limit's unit
 */
public record OvershootAllowance(
    double windowSeconds, double relativeOvershoot, double absoluteOvershoot) {
  /** Part of the slack that is used; the rest covers daemons that cannot ask a limit's keeper. */
  private static final double USED = 0.3;

  /** Returns what may be saved up at a limit, so that large single requests find room. */
  public double effectiveBurst(double ratePerSecond, double burst) {
    double window = ratePerSecond * windowSeconds + burst;
    return burst + USED * (relativeOvershoot * window + absoluteOvershoot);
  }
}
