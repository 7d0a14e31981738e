package org.heatherspread.core.fleet;

import java.util.HashMap;
import java.util.Map;

/**
 * Sums the endpoint loads reported by other daemons or failure domains.
 *
 * <p>Several daemons choose among the same endpoints, and each sees only its own load. With reports
 * that are seconds old, all of them would choose the endpoint that was idle then; loads are
 * therefore exchanged several times a second, summed by failure domain. Invariant: the loads of a
 * source count until it reports newer ones or has not reported for the expiry time. Confined to one
 * thread.
 */
public final class LoadAggregator {
  private final long expiryMillis;
  private final Map<String, SourceLoads> sources = new HashMap<>();

  private LoadAggregator(long expiryMillis) {
    this.expiryMillis = expiryMillis;
  }

  /**
   * Creates an aggregator without loads.
   *
   * @param expiryMillis time after its last report at which the loads of a source cease to count
   */
  public static LoadAggregator create(long expiryMillis) {
    return new LoadAggregator(expiryMillis);
  }

  /** Replaces the loads of a source. */
  public void update(String source, Map<String, EndpointLoad> loads, long nowMillis) {
    sources.put(source, new SourceLoads(Map.copyOf(loads), nowMillis));
  }

  /** Returns the sum of the loads of all sources but one, by endpoint. */
  public Map<String, EndpointLoad> sumExcluding(String excluded, long nowMillis) {
    sources.values().removeIf(reported -> nowMillis - reported.receivedMillis > expiryMillis);
    Map<String, EndpointLoad> sum = new HashMap<>();
    sources.forEach(
        (source, reported) -> {
          if (!source.equals(excluded)) {
            addAll(sum, reported.loads);
          }
        });
    return sum;
  }

  /** Returns the sum of the loads of all sources, by endpoint. */
  public Map<String, EndpointLoad> sum(long nowMillis) {
    return sumExcluding("", nowMillis);
  }

  /** Adds loads to a sum, by endpoint. */
  public static void addAll(Map<String, EndpointLoad> sum, Map<String, EndpointLoad> loads) {
    loads.forEach((endpoint, load) -> sum.merge(endpoint, load, EndpointLoad::plus));
  }

  private record SourceLoads(Map<String, EndpointLoad> loads, long receivedMillis) {}
}
