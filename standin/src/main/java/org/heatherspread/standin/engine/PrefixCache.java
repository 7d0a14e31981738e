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
  private final CacheEvents events;
  private final Map<Long, Boolean> blocks = new LinkedHashMap<>(64, 0.75f, true);

  PrefixCache(int capacity, CacheEvents events) {
    this.capacity = capacity;
    this.events = events;
  }

  /** Returns how many leading blocks are held, and marks them as used. */
  int lookup(long[] hashes) {
    int held = 0;
    while (held < hashes.length && blocks.get(hashes[held]) != null) {
      held++;
    }
    return held;
  }

  /** Adds the blocks of a computed prompt and evicts what no longer fits. */
  void store(long[] hashes) {
    List<Long> added = new ArrayList<>();
    for (long hash : hashes) {
      if (blocks.put(hash, Boolean.TRUE) == null) {
        added.add(hash);
      }
    }
    if (!added.isEmpty()) {
      events.add(CacheEvents.Kind.STORED, added);
    }
    evict();
  }

  private void evict() {
    List<Long> gone = new ArrayList<>();
    Iterator<Long> oldest = blocks.keySet().iterator();
    for (int excess = blocks.size() - capacity; excess > 0; excess--) {
      gone.add(oldest.next());
      oldest.remove();
    }
    if (!gone.isEmpty()) {
      events.add(CacheEvents.Kind.EVICTED, gone);
    }
  }

  /** Drops all blocks. */
  void clear() {
    blocks.clear();
    events.add(CacheEvents.Kind.CLEARED, List.of());
  }
}
