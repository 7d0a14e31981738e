package org.heatherspread.core.fleet;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * The daemons that have lost the path to the endpoints, by their own account, so that callers are
 * directed to the others.
 *
 * <p>Invariant: a daemon that stops repeating that it is isolated is not for longer than the
 * lifetime of its word. Confined to one thread.
 */
public final class IsolatedDaemons {
  /** Interval at which an isolated daemon repeats that it is. */
  public static final long REPEAT_MILLIS = 1_000;

  private static final long LIFETIME_MILLIS = 3 * REPEAT_MILLIS;

  private final Map<String, Long> untilMillis = new HashMap<>();

  private IsolatedDaemons() {}

  /** Creates an instance without isolated daemons. */
  public static IsolatedDaemons create() {
    return new IsolatedDaemons();
  }

  /**
   * Records what a daemon says of itself.
   *
   * @param ageMillis time since it said so
   */
  public void record(String daemon, boolean isolated, long ageMillis, long nowMillis) {
    long until = nowMillis - ageMillis + LIFETIME_MILLIS;
    if (isolated && until > nowMillis) {
      untilMillis.put(daemon, until);
    } else {
      untilMillis.remove(daemon);
    }
  }

  /** Returns the names of the isolated daemons. */
  public Set<String> names(long nowMillis) {
    untilMillis.values().removeIf(until -> until <= nowMillis);
    return new TreeSet<>(untilMillis.keySet());
  }

  /**
   * Returns the entries of daemons that are not isolated, or all entries if all of them are, as the
   * endpoints have then failed rather than the network.
   */
  public <V> Map<String, V> retainReachable(Map<String, V> byDaemon, long nowMillis) {
    return DaemonFilter.exclude(byDaemon, names(nowMillis));
  }
}
