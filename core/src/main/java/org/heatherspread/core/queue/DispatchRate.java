package org.heatherspread.core.queue;

/**
 * The rate at which queued work is dispatched, in endpoint milliseconds per millisecond.
 *
 * <p>An exponentially decaying sum of the work that was dispatched while requests waited. It starts
 * at the daemon's share of the endpoints and is scaled when that share changes, so that a loss of
 * endpoints takes effect at once. Invariant: positive. Confined to one thread.
 */
final class DispatchRate {
  /** Time constant; long enough to average over single large prompts. */
  private static final double TIME_CONSTANT_MILLIS = 1_000;

  /** Bounds of the measured rate, relative to the share of the endpoints. */
  private static final double MIN_RATIO = 0.1;

  private static final double MAX_RATIO = 20;

  private static final double MIN_SHARE = 1e-3;

  private double share = 1;
  private double perMilli = 1;
  private long updatedMillis;
  private boolean backlogged;

  /** Sets the number of endpoints that this daemon may count on. */
  void updateShare(double endpoints) {
    double next = Math.max(MIN_SHARE, endpoints);
    perMilli = perMilli * next / share;
    share = next;
  }

  /** Records whether requests wait; the rate is measured only while they do. */
  void setBacklogged(boolean waiting, long nowMillis) {
    decay(nowMillis);
    backlogged = waiting;
  }

  /** Records the dispatch of a request that had waited. */
  void recordDispatch(double workMillis, long nowMillis) {
    decay(nowMillis);
    perMilli = clamp(perMilli + workMillis / TIME_CONSTANT_MILLIS);
  }

  /** Returns the rate, which is positive. */
  double perMilli(long nowMillis) {
    decay(nowMillis);
    return perMilli;
  }

  private void decay(long nowMillis) {
    if (backlogged && nowMillis > updatedMillis) {
      perMilli = clamp(perMilli * Math.exp((updatedMillis - nowMillis) / TIME_CONSTANT_MILLIS));
    }
    updatedMillis = nowMillis;
  }

  private double clamp(double value) {
    return Math.min(MAX_RATIO * share, Math.max(MIN_RATIO * share, value));
  }
}
