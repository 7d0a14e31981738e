package org.heatherspread.core.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Turns the daemons' running totals of work into a rate for the whole deployment.
 *
 * <p>Answers bursts: the rate rises with the last seconds and falls slowly, so that endpoints are
 * not given up between two waves. Confined to one thread.
 */
public final class DemandMeter {
  private static final double RISE = 0.8;
  private static final double FALL = 0.12;

  private final Map<String, Total> totals = new HashMap<>();
  private double rate;

  private DemandMeter() {}

  /** Creates a meter that has seen nothing. */
  public static DemandMeter create() {
    return new DemandMeter();
  }

  /**
   * Takes in the totals of all live daemons.
   *
   * @param samples work in milliseconds since the start, by daemon life
   */
  public void sample(Map<String, Total> samples) {
    double now = 0;
    boolean progress = false;
    for (Map.Entry<String, Total> entry : samples.entrySet()) {
      Total next = entry.getValue();
      Total before = totals.get(entry.getKey());
      if (before != null && next.atMillis > before.atMillis) {
        now += Math.max(0, next.workMillis - before.workMillis) / (next.atMillis - before.atMillis);
        progress = true;
      }
    }
    if (progress || totals.isEmpty()) {
      rate += (now > rate ? RISE : FALL) * (now - rate);
    }
    totals.clear();
    totals.putAll(samples);
  }

  /** Returns how many endpoints the work would keep fully busy. */
  public double busyEndpoints() {
    return rate;
  }

  /** A running total and the store's time at which it was taken. */
  public record Total(double workMillis, long atMillis) {}
}
