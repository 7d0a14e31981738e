package org.heatherspread.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * The loads that others put on endpoints, by who told them.
 *
 * <p>Answers the load of many daemons that choose among the same endpoints: each sees little of
 * what the others send, and by reports that are seconds old all choose the endpoint that was idle
 * then. Loads are told several times a second, summed by failure domain. Invariant: what a source
 * told counts until it tells something newer or has been silent for a while. Confined to one
 * thread.
 */
public final class LoadAggregator {
  private final long forgetMillis;
  private final Map<String, Told> sources = new HashMap<>();

  private LoadAggregator(long forgetMillis) {
    this.forgetMillis = forgetMillis;
  }

  /**
   * Creates an empty board.
   *
   * @param forgetMillis silence after which what a source told no longer counts
   */
  public static LoadAggregator create(long forgetMillis) {
    return new LoadAggregator(forgetMillis);
  }

  /** Takes in the loads of a source, in place of what it told before. */
  public void update(String source, Map<String, EndpointLoad> loads, long nowMillis) {
    sources.put(source, new Told(Map.copyOf(loads), nowMillis));
  }

  /** Returns the sum of what all sources but one told, by endpoint. */
  public Map<String, EndpointLoad> sumExcluding(String excluded, long nowMillis) {
    sources.values().removeIf(told -> nowMillis - told.atMillis > forgetMillis);
    Map<String, EndpointLoad> sum = new HashMap<>();
    sources.forEach(
        (source, told) -> {
          if (!source.equals(excluded)) {
            addAll(sum, told.loads);
          }
        });
    return sum;
  }

  /** Returns the sum of what all sources told, by endpoint. */
  public Map<String, EndpointLoad> sum(long nowMillis) {
    return sumExcluding("", nowMillis);
  }

  /** Adds loads to others. */
  public static void addAll(Map<String, EndpointLoad> sum, Map<String, EndpointLoad> loads) {
    loads.forEach((endpoint, load) -> sum.merge(endpoint, load, EndpointLoad::plus));
  }

  private record Told(Map<String, EndpointLoad> loads, long atMillis) {}
}
