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

  /**
   * Time before the first loss in which a connection to the next process may have been opened: ends
   * of connections may be late.
   */
  private static final long MAX_DELAY_MILLIS = 200;

  private final Map<HostPort, Series> seriesByAddress = new HashMap<>();

  /** Losses with one cause. */
  private record Series(long firstMillis, long lastMillis, boolean reported) {
    static Series startingAt(long millis) {
      return new Series(millis, millis, false);
    }

    boolean isOver(long nowMillis) {
      return nowMillis - lastMillis > MAX_GAP_MILLIS;
    }

    /** Returns whether a connection was open at the first loss, to whichever process. */
    boolean concerns(EndpointConnection connection) {
      return connection.isOpenedBefore(firstMillis);
    }

    /** Returns whether a connection was certainly opened to the process of the first loss. */
    boolean isRefutedBy(EndpointConnection connection) {
      return connection.isOpenedBefore(firstMillis - MAX_DELAY_MILLIS);
    }
  }

  /**
   * Records the end of a connection.
   *
   * @param lost whether it was not this daemon that closed it
   * @param remaining the other open connections to the address
   * @return whether from now on no open connection is certainly to the process of the losses
   */
  boolean recordEnd(
      EndpointConnection ended, boolean lost, Set<EndpointConnection> remaining, long nowMillis) {
    Series series = seriesByAddress.remove(ended.address());
    boolean concerned = series != null && !series.isOver(nowMillis) && series.concerns(ended);
    if (!lost && !concerned) {
      restore(ended.address(), series, remaining);
      return false;
    }
    Series current = concerned ? series : Series.startingAt(nowMillis);
    boolean disconnected = remaining.stream().noneMatch(current::isRefutedBy);
    restore(
        ended.address(),
        new Series(
            current.firstMillis(),
            lost ? nowMillis : current.lastMillis(),
            current.reported() || disconnected),
        remaining);
    return disconnected && !current.reported();
  }

  private void restore(HostPort address, Series series, Set<EndpointConnection> remaining) {
    if (series != null && !remaining.isEmpty()) {
      seriesByAddress.put(address, series);
    }
  }
}
