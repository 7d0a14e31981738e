package org.heatherspread.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Leaves daemons out of a view of the fleet, but never all of them. Stateless. */
final class DaemonFilter {
  private DaemonFilter() {}

  /** Returns the entries of daemons that are not excluded, or all entries if all of them are. */
  static <V> Map<String, V> exclude(Map<String, V> byDaemon, Set<String> excluded) {
    Map<String, V> remaining = new HashMap<>(byDaemon);
    remaining.keySet().removeAll(excluded);
    return remaining.isEmpty() ? byDaemon : remaining;
  }
}
