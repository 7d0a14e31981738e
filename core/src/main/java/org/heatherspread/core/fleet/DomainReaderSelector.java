package org.heatherspread.core.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/**
 * Chooses the daemon of a failure domain that follows the store for the domain's other daemons.
 *
 * <p>Answers the size of a fleet: followed by every daemon, each change would be read as often as
 * there are daemons. The choice follows from the reports alone, so that daemons with the same
 * reports agree on it. Stateless.
 */
public final class DomainReaderSelector {
  /** Daemons of a domain below which each reads for itself, as little would be saved. */
  private static final int MIN_DAEMONS = 4;

  private static final Comparator<DaemonReport> BY_FITNESS =
      Comparator.comparingDouble(DaemonReport::linkMbps)
          .thenComparing(Comparator.comparing(DaemonReport::daemon).reversed());

  private DomainReaderSelector() {}

  /**
   * Chooses the daemon with the fastest link, the first by name of several.
   *
   * @param live latest report of each live daemon
   * @return empty where each daemon of the domain reads for itself
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
      if (best == null || BY_FITNESS.compare(report, best) > 0) {
        best = report;
      }
    }
    return daemons < MIN_DAEMONS ? Optional.empty() : Optional.of(best);
  }
}
