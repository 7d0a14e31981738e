package org.heatherspread.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Stores the KV caches that were exported from or imported into the engine. Each of the two sets is
 * bounded; the oldest entry is evicted first.
 *
 * <p>Thread-safe.
 */
final class KvCacheStore {
  private static final int MAX_ENTRIES = 256;

  private final Map<String, KvCache> exported = createBoundedMap();
  private final Map<String, KvCache> imported = createBoundedMap();

  /**
   * The KV cache of a sequence. Immutable.
   *
   * @param kvId id of the cache
   * @param seed seed of the prompt to which it belongs
   * @param tokens prompt and answer tokens that it covers
   * @param bytes size in bytes
   */
  record KvCache(String kvId, long seed, int tokens, long bytes) {}

  private static Map<String, KvCache> createBoundedMap() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<String, KvCache> eldest) {
        return size() > MAX_ENTRIES;
      }
    };
  }

  synchronized void putExported(KvCache cache) {
    exported.put(cache.kvId(), cache);
  }

  synchronized Optional<KvCache> findExported(String kvId) {
    return Optional.ofNullable(exported.get(kvId));
  }

  synchronized void putImported(KvCache cache) {
    imported.put(cache.kvId(), cache);
  }

  /** Removes and returns an imported cache if it belongs to the prompt with this seed. */
  synchronized Optional<KvCache> takeImported(String kvId, long seed) {
    KvCache cache = imported.get(kvId);
    if (cache == null || cache.seed() != seed) {
      return Optional.empty();
    }
    imported.remove(kvId);
    return Optional.of(cache);
  }
}
