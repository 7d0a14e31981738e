package org.heatherspread.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * KV caches that were exported from or imported into the engine, the oldest dropped first.
 *
 * <p>Safe for use by any thread.
 */
final class KvCacheStore {
  private static final int MAX_ENTRIES = 256;

  private final Map<String, KvCache> exported = createBoundedMap();
  private final Map<String, KvCache> imported = createBoundedMap();

  /**
   * The KV cache of one sequence. Immutable.
   *
   * @param kvId its id
   * @param seed seed of the prompt that it belongs to
   * @param tokens prompt and answer tokens that it covers
   * @param bytes its size
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

  /** Takes an imported cache out if it belongs to the prompt. */
  synchronized Optional<KvCache> takeImported(String kvId, long seed) {
    KvCache cache = imported.get(kvId);
    if (cache == null || cache.seed() != seed) {
      return Optional.empty();
    }
    imported.remove(kvId);
    return Optional.of(cache);
  }
}
