package org.heatherspread.core.stream;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.heatherspread.core.time.MonotonicClock;

/**
 * Origins of streams by the id of the callers' attempts that they answer. Beyond the maximum number
 * of entries the oldest is dropped. Invariant: the origin of an attempt never changes. Confined to
 * one thread.
 */
public final class StreamOriginTable {
  private final MonotonicClock clock;
  private final int maxEntries;
  private final Map<String, Entry> entries = new LinkedHashMap<>();

  private StreamOriginTable(MonotonicClock clock, int maxEntries) {
    this.clock = clock;
    this.maxEntries = maxEntries;
  }

  /** Creates an empty table. */
  public static StreamOriginTable create(MonotonicClock clock, int maxEntries) {
    return new StreamOriginTable(clock, maxEntries);
  }

  /** Adds the origin of an attempt, unless it is known. */
  public void add(String attemptId, StreamOrigin origin, long retentionMillis) {
    entries.putIfAbsent(attemptId, new Entry(origin, clock.millis() + retentionMillis));
    Iterator<Entry> oldest = entries.values().iterator();
    while (oldest.hasNext()) {
      if (!oldest.next().isExpired(clock.millis()) && entries.size() <= maxEntries) {
        return;
      }
      oldest.remove();
    }
  }

  /** Returns the origin of an attempt, empty if it is not known. */
  public Optional<StreamOrigin> find(String attemptId) {
    Entry entry = entries.get(attemptId);
    boolean valid = entry != null && !entry.isExpired(clock.millis());
    return valid ? Optional.of(entry.origin) : Optional.empty();
  }

  /** Returns the number of entries, including expired ones. */
  public int size() {
    return entries.size();
  }

  private record Entry(StreamOrigin origin, long expiryMillis) {
    private boolean isExpired(long nowMillis) {
      return nowMillis >= expiryMillis;
    }
  }
}
