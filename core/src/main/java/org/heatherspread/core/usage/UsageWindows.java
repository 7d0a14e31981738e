package org.heatherspread.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the started requests of each client account in consecutive windows of Unix time, and
 * retains the latest windows. Confined to one thread.
 */
public final class UsageWindows {
  private final long windowMillis;
  private final int maxWindows;
  private final TreeMap<Long, Map<String, Integer>> windows = new TreeMap<>();

  private UsageWindows(long windowMillis, int maxWindows) {
    this.windowMillis = windowMillis;
    this.maxWindows = maxWindows;
  }

  /**
   * Creates empty counts.
   *
   * @param maxWindows number of windows to retain; older ones are dropped
   */
  public static UsageWindows create(long windowMillis, int maxWindows) {
    return new UsageWindows(windowMillis, maxWindows);
  }

  /** Returns the number of the window that contains a Unix time. */
  public long windowAt(long unixMillis) {
    return Math.floorDiv(unixMillis, windowMillis);
  }

  /** Returns the Unix time at which a window ends. */
  public long endMillis(long window) {
    return (window + 1) * windowMillis;
  }

  /** Counts a request that started at a Unix time. */
  public void countRequest(String account, long unixMillis) {
    windows
        .computeIfAbsent(windowAt(unixMillis), window -> new HashMap<>())
        .merge(account, 1, Integer::sum);
    while (windows.size() > maxWindows) {
      windows.pollFirstEntry();
    }
  }

  /** Returns a copy of the counts by window and account. */
  public Map<Long, Map<String, Integer>> snapshot() {
    Map<Long, Map<String, Integer>> copy = new TreeMap<>();
    windows.forEach((window, counts) -> copy.put(window, Map.copyOf(counts)));
    return copy;
  }
}
