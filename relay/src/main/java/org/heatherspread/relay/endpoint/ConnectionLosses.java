package org.heatherspread.relay.endpoint;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.heatherspread.core.serving.HostPort;

/**
 * Finds addresses to which all connections of a moment were lost, as when the process at the other
 * end ends: their ends come one after the other, and meanwhile a connection to the next process may
 * be opened. A connection that this daemon closed is no loss, but proves nothing any longer. Holds
 * only addresses with open connections. Confined to one event loop.
 */
final class ConnectionLosses {
  /** Largest time between losses that have one cause. */
  private static final long MAX_GAP_MILLIS = 500;

  private final Map<HostPort, Series> seriesByAddress = new HashMap<>();

  /** Losses with one cause. */
  private record Series(long firstMillis, long lastMillis) {}

  /**
   * Records the end of a connection.
   *
   * @param lost whether it was not this daemon that closed it
   * @param remaining the other open connections to the address
   * @return whether the last connection ended that was open at the first of the losses
   */
  boolean recordEnd(
      EndpointConnection ended, boolean lost, Set<EndpointConnection> remaining, long nowMillis) {
    Series series = seriesByAddress.get(ended.address());
    if (series != null && nowMillis - series.lastMillis() > MAX_GAP_MILLIS) {
      series = null;
    }
    boolean earlier = series != null && ended.isOpenedBefore(series.firstMillis());
    if (lost) {
      series = new Series(earlier ? series.firstMillis() : nowMillis, nowMillis);
    }
    if (series == null || remaining.isEmpty()) {
      seriesByAddress.remove(ended.address());
    } else {
      seriesByAddress.put(ended.address(), series);
    }
    if (!lost && !earlier) {
      return false;
    }
    long firstMillis = series.firstMillis();
    return remaining.stream().noneMatch(connection -> connection.isOpenedBefore(firstMillis));
  }
}
