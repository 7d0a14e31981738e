package org.heatherspread.core.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Selects the daemon of a failure domain that reads the store on behalf of the other daemons of the
 * domain.
 *
 * <p>In a large fleet, each change would otherwise be read once by every daemon. The selection
 * depends only on the reports, so that daemons with the same reports agree on it. Stateless.
 */
public final class DomainReaderSelector {
  /** In a domain with fewer daemons each reads the store itself, as sharing saves little. */
  private static final int MIN_DAEMONS = 4;

  private static final Comparator<DaemonReport> BY_LINK_SPEED =
      Comparator.comparingDouble(DaemonReport::linkMbps)
          .thenComparing(Comparator.comparing(DaemonReport::daemon).reversed());

  private DomainReaderSelector() {}

  /**
   * Selects the daemon with the fastest link, or the first by name among equals.
   *
   * @param live latest report of each live daemon
   * @return empty if each daemon of the domain reads the store itself
   */
  public static Optional<DaemonReport> select(Collection<DaemonReport> live, String domain) {
    int daemons = 0;
    DaemonReport best = null;
    for (DaemonReport report : live) {
      boolean candidate =
          report.domain().equals(domain)
              && report.state() == DaemonState.READY
              && !report.peerAddress().isEmpty();
      if (!candidate) {
        continue;
      }
      daemons++;
      if (best == null || BY_LINK_SPEED.compare(report, best) > 0) {
        best = report;
      }
    }
    return daemons < MIN_DAEMONS ? Optional.empty() : Optional.of(best);
  }
}
