package org.heatherspread.standin.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * KV caches that were exported from or imported into the engine, the oldest dropped first.
 *
 * <p>Safe for use by any thread.
 */
final class KvStore {
  private static final int KEPT = 256;

  private final Map<String, Kv> exported = bounded();
  private final Map<String, Kv> imported = bounded();

  /**
   * The KV cache of one sequence. Immutable.
   *
   * @param kvId its id
   * @param seed seed of the prompt that it belongs to
   * @param tokens prompt and answer tokens that it covers
   * @param bytes its size
   */
  record Kv(String kvId, long seed, int tokens, long bytes) {}

  private static Map<String, Kv> bounded() {
    return new LinkedHashMap<>() {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<String, Kv> eldest) {
        return size() > KEPT;
      }
    };
  }

  synchronized void export(Kv kv) {
    exported.put(kv.kvId(), kv);
  }

  synchronized Optional<Kv> exported(String kvId) {
    return Optional.ofNullable(exported.get(kvId));
  }

  synchronized void importKv(Kv kv) {
    imported.put(kv.kvId(), kv);
  }

  /** Takes an imported cache out if it belongs to the prompt. */
  synchronized Optional<Kv> take(String kvId, long seed) {
    Kv kv = imported.get(kvId);
    if (kv == null || kv.seed() != seed) {
      return Optional.empty();
    }
    imported.remove(kvId);
    return Optional.of(kv);
  }
}
