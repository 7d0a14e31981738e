package org.heatherspread.core.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Selects the daemons that may own limits.
 *
 * <p>Answers the load of busy accounts: an owner decides on all requests of its accounts, whichever
 * daemons they reach. A daemon that also reads the store for its domain, or a small one among
 * larger ones, falls behind under both, and all requests of the accounts then wait for its
 * decisions in vain. Owners are therefore daemons with the fastest links, which the largest
 * instances have, and no readers, as long as enough remain to spread the limits.
 *
 * <p>All daemons have to select the same owners. As daemons of earlier versions choose among all
 * that accept callers, so do all others while one of them may admit requests. Stateless.
 */
public final class LimitOwnerSelector {
  /** The rule of this version, for reports. */
  public static final int CURRENT_RULE = 1;

  /** Number of daemons that is enough to own the limits, so that the loss of one moves few. */
  private static final int MIN_OWNERS = 4;

  /** Share of the fastest link from which a link counts as equally fast. */
  private static final double FAST_LINK_RATIO = 0.5;

  private LimitOwnerSelector() {}

  /**
   * Returns the names of the daemons that may own limits.
   *
   * @param admitting reports of all daemons that may admit requests
   * @param readers daemons that read the store for others
   */
  public static Set<String> select(Collection<DaemonReport> admitting, Set<String> readers) {
    List<DaemonReport> ready =
        admitting.stream().filter(report -> report.state() == DaemonState.READY).toList();
    if (admitting.stream().anyMatch(report -> report.ownerRule() < CURRENT_RULE)) {
      return names(ready);
    }
    List<DaemonReport> others =
        ready.stream().filter(report -> !readers.contains(report.daemon())).toList();
    if (others.size() < MIN_OWNERS) {
      return names(ready);
    }
    double fastest = others.stream().mapToDouble(DaemonReport::linkMbps).max().orElse(0);
    List<DaemonReport> fast =
        others.stream().filter(report -> report.linkMbps() >= FAST_LINK_RATIO * fastest).toList();
    return names(fast.size() < MIN_OWNERS ? others : fast);
  }

  private static Set<String> names(List<DaemonReport> reports) {
    Set<String> names = new TreeSet<>();
    reports.forEach(report -> names.add(report.daemon()));
    return names;
  }
}
