package org.heatherspread.standin.engine;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The engine's limited cache of prompt prefixes, by chained block hash; the block used least
 * recently goes first.
 *
 * <p>Not safe for use by several threads.
 */
final class PrefixCache {
  private final int capacity;
  private final CacheEventLog events;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);

  PrefixCache(int capacity, CacheEventLog events) {
    this.capacity = capacity;
    this.events = events;
  }

  /** Returns how many leading blocks are held, and marks them as used. */
  int lookup(long[] hashes) {
    int cachedBlocks = 0;
    while (cachedBlocks < hashes.length && blocks.get(hashes[cachedBlocks]) != null) {
      cachedBlocks++;
    }
    return cachedBlocks;
  }

  /** Adds the blocks of a computed prompt and evicts what no longer fits. */
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

  /** Drops all blocks. */
  void clear() {
    blocks.clear();
    events.add(CacheEventLog.Kind.CLEARED, List.of());
  }
}
