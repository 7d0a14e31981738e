package org.heatherspread.core.limit;

/**
 * Rate of amounts over an exponentially decaying window. Before the window is full, the rate is
 * that of the time since the first amount, so that it isn't underestimated. Confined to one thread.
 */
final class DecayingRate {
  private static final double NANOS_PER_SECOND = 1e9;

  private final double windowSeconds;

  /** Lower bound on the time over which a rate is measured, so that one amount is no surge. */
  private final double minSeconds;

  private final long startNanos;
  private long lastNanos;
  private double sum;

  private DecayingRate(double windowSeconds, double minSeconds, long nowNanos) {
    this.windowSeconds = windowSeconds;
    this.minSeconds = minSeconds;
    this.startNanos = nowNanos;
    this.lastNanos = nowNanos;
  }

  static DecayingRate start(double windowSeconds, double minSeconds, long nowNanos) {
    return new DecayingRate(windowSeconds, minSeconds, nowNanos);
  }

  void add(double amount, long nowNanos) {
    decay(nowNanos);
    sum += amount;
  }

  double perSecond(long nowNanos) {
    decay(nowNanos);
    double age = (nowNanos - startNanos) / NANOS_PER_SECOND;
    double measured = windowSeconds * (1 - Math.exp(-age / windowSeconds));
    return sum / Math.max(minSeconds, measured);
  }

  private void decay(long nowNanos) {
    double seconds = Math.max(0, nowNanos - lastNanos) / NANOS_PER_SECOND;
    lastNanos = Math.max(lastNanos, nowNanos);
    sum *= Math.exp(-seconds / windowSeconds);
  }
}
