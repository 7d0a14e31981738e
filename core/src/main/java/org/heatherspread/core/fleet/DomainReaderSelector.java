package org.heatherspread.core.fleet;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
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
    List<DaemonReport> members =
        live.stream().filter(report -> report.domain().equals(domain)).toList();
    return members.stream().filter(DomainReaderSelector::isCandidate).count() < MIN_DAEMONS
        ? Optional.empty()
        : selectOf(members);
  }

  /**
   * Selects one of some daemons in the same way, whatever their number.
   *
   * @return empty if none of them accepts callers and calls of other daemons
   */
  public static Optional<DaemonReport> selectOf(Collection<DaemonReport> daemons) {
    return daemons.stream().filter(DomainReaderSelector::isCandidate).max(BY_LINK_SPEED);
  }

  private static boolean isCandidate(DaemonReport report) {
    return report.state() == DaemonState.READY && !report.peerAddress().isEmpty();
  }
}
