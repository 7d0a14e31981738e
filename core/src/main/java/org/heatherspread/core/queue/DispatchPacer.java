package org.heatherspread.core.queue;

import org.heatherspread.core.time.MonotonicClock;

/**
 * Limits how fast one of many daemons dispatches requests that wait.
 *
 * <p>All daemons learn of free capacity from loads that are some hundred milliseconds old. If each
 * used all of it, they would fill the same endpoints beyond their slots. A daemon therefore
 * replaces its own requests as they end, and takes its share of the capacity that it sees besides.
 * A daemon alone is not limited. Confined to one thread.
 */
public final class DispatchPacer {
  /** Age that the loads of other daemons reach before newer ones replace them. */
  private static final double LOAD_PERIOD_MILLIS = 500;

  /** Slowest pace, so that a daemon with a small share still uses capacity that others leave. */
  private static final double MAX_INTERVAL_MILLIS = 100;

  /** Requests that a daemon may dispatch at once as its own requests ended. */
  private static final double MAX_ENDED = 16;

  private final MonotonicClock clock;
  private int daemons = 1;
  private double shareOfFree = 1;
  private double credit = 1;
  private double endedCredit;
  private long updatedMillis;

  private DispatchPacer(MonotonicClock clock) {
    this.clock = clock;
    this.updatedMillis = clock.millis();
  }

  /** Creates a pacer for a daemon without others. */
  public static DispatchPacer create(MonotonicClock clock) {
    return new DispatchPacer(clock);
  }

  /**
   * Sets what is known of the free capacity.
   *
   * @param freeRequests requests for which the endpoints have room by the known loads
   * @param daemonCount daemons that share them
   */
  public void update(double freeRequests, int daemonCount) {
    accrue();
    daemons = daemonCount;
    shareOfFree = freeRequests / Math.max(1, daemonCount);
  }

  /** Records the end of a request of this daemon, whose place it may use again. */
  public void recordEnd() {
    endedCredit = Math.min(MAX_ENDED, endedCredit + 1);
  }

  /** Returns whether a request may be dispatched now. */
  public boolean mayDispatch() {
    accrue();
    return daemons <= 1 || endedCredit >= 1 || credit >= 1;
  }

  /** Records the dispatch of a request. */
  public void recordDispatch() {
    if (endedCredit >= 1) {
      endedCredit--;
      return;
    }
    credit = Math.max(0, credit - 1);
  }

  private void accrue() {
    long now = clock.millis();
    double perMilli = Math.max(1 / MAX_INTERVAL_MILLIS, shareOfFree / LOAD_PERIOD_MILLIS);
    credit = Math.min(Math.max(1, shareOfFree), credit + (now - updatedMillis) * perMilli);
    updatedMillis = now;
  }
}
