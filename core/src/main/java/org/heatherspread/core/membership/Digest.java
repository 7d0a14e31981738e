package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A digest of all items of a daemon: their fingerprints in buckets by key, and the XOR sums of each
 * bucket and of all items. Daemons with equal sums hold the same items. Not thread-safe.
 */
final class Digest {
  static final int BUCKETS = 256;

  private final List<Map<String, Long>> items = new ArrayList<>(BUCKETS);
  private final int[] sums = new int[BUCKETS];
  private long root;

  Digest() {
    for (int i = 0; i < BUCKETS; i++) {
      items.add(new HashMap<>());
    }
  }

  void put(String key, long fingerprint) {
    int bucket = bucket(key);
    Long old = items.get(bucket).put(key, fingerprint);
    toggle(bucket, fingerprint);
    if (old != null) {
      toggle(bucket, old);
    }
  }

  void remove(String key) {
    int bucket = bucket(key);
    Long old = items.get(bucket).remove(key);
    if (old != null) {
      toggle(bucket, old);
    }
  }

  private void toggle(int bucket, long fingerprint) {
    sums[bucket] ^= (int) (fingerprint ^ (fingerprint >>> 32));
    root ^= fingerprint;
  }

  /** Returns the sum over all items, or 1 if it is 0, which means in messages that none is sent. */
  long root() {
    return root == 0 ? 1 : root;
  }

  int[] sums() {
    return sums.clone();
  }

  /** Returns the fingerprints of a bucket by key. */
  Map<String, Long> bucketItems(int bucket) {
    return items.get(bucket);
  }

  private static int bucket(String key) {
    return (int) (Hashing.of(key) >>> 56) & (BUCKETS - 1);
  }
}
