package org.heatherspread.core.usage;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counts the requests of each client account that began to run, by windows of the Unix time, and
 * keeps the latest windows. Confined to one thread.
 */
public final class UsageWindows {
  private final long windowMillis;
  private final int kept;
  private final TreeMap<Long, Map<String, Integer>> windows = new TreeMap<>();

  private UsageWindows(long windowMillis, int kept) {
    this.windowMillis = windowMillis;
    this.kept = kept;
  }

  /**
   * Creates empty counts.
   *
   * @param kept how many windows are kept
   */
  public static UsageWindows create(long windowMillis, int kept) {
    return new UsageWindows(windowMillis, kept);
  }

  /** Returns the number of the window that a Unix time lies in. */
  public long windowAt(long unixMillis) {
    return Math.floorDiv(unixMillis, windowMillis);
  }

  /** Returns the Unix time at which a window ends. */
  public long endMillis(long window) {
    return (window + 1) * windowMillis;
  }

  /** Counts a request. */
  public void countRequest(String account, long unixMillis) {
    windows
        .computeIfAbsent(windowAt(unixMillis), window -> new HashMap<>())
        .merge(account, 1, Integer::sum);
    while (windows.size() > kept) {
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
