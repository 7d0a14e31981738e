package org.heatherspread.core.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes the rate of work of the whole deployment from the cumulative totals of its daemons.
 *
 * <p>The rate is an exponential moving average that rises within seconds and falls slowly, so that
 * endpoints are not released between two bursts of demand. Daemons report at different times;
 * between two reports a daemon contributes the rate between its last two. Not thread-safe.
 */
public final class DemandMeter {
  private static final double RISE_WEIGHT = 0.8;
  private static final double FALL_WEIGHT = 0.12;

  private final Map<String, DaemonRate> daemons = new HashMap<>();
  private double rate;

  private DemandMeter() {}

  /** Creates a meter without samples. */
  public static DemandMeter create() {
    return new DemandMeter();
  }

  /**
   * Updates the rate with the totals of all live daemons; daemons that are absent are removed.
   *
   * @param samples latest totals by daemon incarnation
   */
  public void sample(Map<String, Total> samples) {
    daemons.keySet().retainAll(samples.keySet());
    boolean updated = false;
    for (Map.Entry<String, Total> entry : samples.entrySet()) {
      DaemonRate before = daemons.get(entry.getKey());
      if (before == null) {
        daemons.put(entry.getKey(), new DaemonRate(entry.getValue(), 0));
      } else if (entry.getValue().atMillis > before.total.atMillis) {
        daemons.put(entry.getKey(), before.next(entry.getValue()));
        updated = true;
      }
    }
    if (!updated) {
      return;
    }
    double sum = 0;
    for (DaemonRate daemon : daemons.values()) {
      sum += daemon.rate;
    }
    rate += (sum > rate ? RISE_WEIGHT : FALL_WEIGHT) * (sum - rate);
  }

  /** Returns the rate of work as the number of endpoints that it would fully occupy. */
  public double busyEndpoints() {
    return rate;
  }

  /**
   * A cumulative total of work.
   *
   * @param workMillis work in milliseconds of endpoint time
   * @param atMillis time of the total by the clock of the table service
   */
  public record Total(double workMillis, long atMillis) {}

  /** The latest total of a daemon, and its rate of work between the last two. */
  private record DaemonRate(Total total, double rate) {
    private DaemonRate next(Total newer) {
      double done = Math.max(0, newer.workMillis - total.workMillis);
      return new DaemonRate(newer, done / (newer.atMillis - total.atMillis));
    }
  }
}
