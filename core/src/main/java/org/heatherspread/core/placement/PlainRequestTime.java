package org.heatherspread.core.placement;

/**
 * Estimates the time of a request to a plain service that finds a free slot at an average endpoint,
 * from the responses that a daemon relays. It follows the median, so that single slow endpoints do
 * not move it. Confined to one thread.
 */
public final class PlainRequestTime {
  /** Time assumed until responses have been observed. */
  private static final double INITIAL_MILLIS = 30;

  private static final double MEDIAN = 0.5;

  private final QuantileScale scale = QuantileScale.create(MEDIAN);

  private PlainRequestTime() {}

  /** Creates an estimate without observations. */
  public static PlainRequestTime create() {
    return new PlainRequestTime();
  }

  /** Returns the expected time of a request that finds a free slot. */
  public double millis() {
    return scale.value() * INITIAL_MILLIS;
  }

  /**
   * Returns the expected time of the next request to an endpoint of average speed.
   *
   * @param running requests at the endpoint, including those that wait for a slot
   */
  public double millis(double running, int slots) {
    double waiting = Math.max(0, running + 1 - slots) / Math.max(1, slots);
    return millis() * (1 + waiting);
  }

  /** Records the time of a response to a request that found a free slot by the known load. */
  public void record(double observedMillis) {
    scale.record(Math.max(1, observedMillis) / INITIAL_MILLIS);
  }
}
