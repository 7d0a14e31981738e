package org.heatherspread.core.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds the daemons that are expected to be heard regularly and have not been for some time.
 *
 * <p>Invariant: a daemon counts as heard when it is first expected, and all of them do after this
 * process stood still, as what they sent meanwhile was not read. Confined to one thread.
 */
public final class SilenceDetector {
  /**
   * Time for which a silent daemon counts as such after it is no longer expected. Other daemons may
   * still find it in an older read of the reports, which are up to about a second apart, and would
   * name it to callers.
   */
  private static final long RETENTION_MILLIS = 3_000;

  private final long silenceMillis;
  private final long maxGapMillis;
  private final Map<String, Long> heardMillis = new HashMap<>();
  private final Map<String, Long> goneUntilMillis = new HashMap<>();
  private long lastExpectedMillis;

  private SilenceDetector(long silenceMillis, long maxGapMillis) {
    this.silenceMillis = silenceMillis;
    this.maxGapMillis = maxGapMillis;
  }

  /**
   * Creates a detector that expects no daemons.
   *
   * @param silenceMillis time after which a daemon counts as silent
   * @param maxGapMillis time between two calls of {@link #expect} above which this process is taken
   *     to have stood still
   */
  public static SilenceDetector create(long silenceMillis, long maxGapMillis) {
    return new SilenceDetector(silenceMillis, maxGapMillis);
  }

  /** Replaces the daemons that are expected; must be called regularly. */
  public void expect(Collection<String> daemons, long nowMillis) {
    if (nowMillis - lastExpectedMillis > maxGapMillis) {
      heardMillis.clear();
      goneUntilMillis.clear();
    }
    lastExpectedMillis = nowMillis;
    for (String daemon : notHeard(nowMillis)) {
      goneUntilMillis.put(daemon, nowMillis + RETENTION_MILLIS);
    }
    goneUntilMillis.keySet().removeAll(daemons);
    heardMillis.keySet().retainAll(daemons);
    for (String daemon : daemons) {
      heardMillis.putIfAbsent(daemon, nowMillis);
    }
  }

  /** Records that a daemon was heard; has no effect if it is not expected. */
  public void recordHeard(String daemon, long nowMillis) {
    heardMillis.replace(daemon, nowMillis);
  }

  /** Returns the daemons that are silent, and those that were when they ceased to be expected. */
  public Set<String> silent(long nowMillis) {
    Set<String> silent = notHeard(nowMillis);
    silent.addAll(gone(nowMillis));
    return silent;
  }

  /** Returns the daemons that were silent when they ceased to be expected, for some time. */
  public Set<String> gone(long nowMillis) {
    goneUntilMillis.values().removeIf(until -> nowMillis >= until);
    return new TreeSet<>(goneUntilMillis.keySet());
  }

  private Set<String> notHeard(long nowMillis) {
    Set<String> silent = new TreeSet<>();
    heardMillis.forEach(
        (daemon, heard) -> {
          if (nowMillis - heard > silenceMillis) {
            silent.add(daemon);
          }
        });
    return silent;
  }

  /**
   * Returns the entries of daemons that are not silent, or all entries if all of them are silent,
   * as this daemon is then cut off from the others.
   */
  public static <V> Map<String, V> retainHeard(Map<String, V> byDaemon, Set<String> silent) {
    return DaemonFilter.exclude(byDaemon, silent);
  }
}
