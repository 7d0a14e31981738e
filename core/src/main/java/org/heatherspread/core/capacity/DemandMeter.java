package org.heatherspread.core.capacity;

import java.util.HashMap;
import java.util.Map;

/**
 * Turns the daemons' running totals of work into a rate for the whole deployment.
 *
 * <p>Answers bursts: the rate rises with the last seconds and falls slowly, so that endpoints are
 * not given up between two waves. Daemons report each at a moment of its own; between two reports a
 * daemon counts with the rate between its last two. Confined to one thread.
 */
public final class DemandMeter {
  private static final double RISE = 0.8;
  private static final double FALL = 0.12;

  private final Map<String, Known> daemons = new HashMap<>();
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
    daemons.keySet().retainAll(samples.keySet());
    boolean progress = false;
    for (Map.Entry<String, Total> entry : samples.entrySet()) {
      Known before = daemons.get(entry.getKey());
      if (before == null) {
        daemons.put(entry.getKey(), new Known(entry.getValue(), 0));
      } else if (entry.getValue().atMillis > before.total.atMillis) {
        daemons.put(entry.getKey(), before.next(entry.getValue()));
        progress = true;
      }
    }
    if (!progress) {
      return;
    }
    double now = 0;
    for (Known daemon : daemons.values()) {
      now += daemon.rate;
    }
    rate += (now > rate ? RISE : FALL) * (now - rate);
  }

  /** Returns how many endpoints the work would keep fully busy. */
  public double busyEndpoints() {
    return rate;
  }

  /** A running total and the store's time at which it was taken. */
  public record Total(double workMillis, long atMillis) {}

  /** A daemon's newest total, and the rate of its work between the last two. */
  private record Known(Total total, double rate) {
    private Known next(Total newer) {
      double done = Math.max(0, newer.workMillis - total.workMillis);
      return new Known(newer, done / (newer.atMillis - total.atMillis));
    }
  }
}
