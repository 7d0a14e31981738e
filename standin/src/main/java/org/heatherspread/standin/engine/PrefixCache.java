package org.heatherspread.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Simulates the prefix cache of the engine: a bounded LRU set of chained block hashes, whose
 * changes are published as cache events.
 *
 * <p>Not thread-safe.
 */
final class PrefixCache {
  private final int capacity;
  private final CacheEventLog events;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);

  PrefixCache(int capacity, CacheEventLog events) {
    this.capacity = capacity;
    this.events = events;
  }

  /** Returns the number of leading blocks in the cache and marks them as used. */
  int lookup(long[] hashes) {
    int cachedBlocks = 0;
    while (cachedBlocks < hashes.length && blocks.get(hashes[cachedBlocks]) != null) {
      cachedBlocks++;
    }
    return cachedBlocks;
  }

  /** Adds the blocks of a computed prompt and evicts the least recently used ones over capacity. */
  void store(long[] hashes) {
    List<Long> stored = new ArrayList<>();
    for (long hash : hashes) {
      if (blocks.put(hash, Boolean.TRUE) == null) {
        stored.add(hash);
      }
    }
    if (!stored.isEmpty()) {
      events.add(CacheEventLog.Kind.STORED, stored);
    }
    evict();
  }

  private void evict() {
    List<Long> evicted = new ArrayList<>();
    Iterator<Long> oldest = blocks.keySet().iterator();
    for (int excess = blocks.size() - capacity; excess > 0; excess--) {
      evicted.add(oldest.next());
      oldest.remove();
    }
    if (!evicted.isEmpty()) {
      events.add(CacheEventLog.Kind.EVICTED, evicted);
    }
  }

  /** Removes all blocks. */
  void clear() {
    blocks.clear();
    events.add(CacheEventLog.Kind.CLEARED, List.of());
  }
}
