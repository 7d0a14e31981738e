package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Finds the differences between the items of two daemons. A comparison covers a few buckets of the
 * digest at a time, so that its cost is bounded regardless of the number of differences.
 *
 * <p>Not thread-safe.
 */
final class Reconciler {
  private static final int MAX_BUCKETS_PER_MESSAGE = 4;
  private static final int MAX_ITEMS_PER_MESSAGE = 512;
  private static final String MEMBER_PREFIX = "m/";

  private final Digest digest;
  private final MemberTable members;
  private final EntryTable entries;
  private final RandomGenerator random;

  Reconciler(Digest digest, MemberTable members, EntryTable entries, RandomGenerator random) {
    this.digest = digest;
    this.members = members;
    this.entries = entries;
    this.random = random;
  }

  /** Returns the fingerprints of a few buckets whose sums differ from those of a peer. */
  Map<Integer, long[]> differingBuckets(int[] sums) {
    int[] ownSums = digest.sums();
    Map<Integer, long[]> found = new HashMap<>();
    int first = random.nextInt(Digest.BUCKETS);
    for (int i = 0; i < Digest.BUCKETS && found.size() < MAX_BUCKETS_PER_MESSAGE; i++) {
      int bucket = (first + i) % Digest.BUCKETS;
      if (bucket < sums.length && sums[bucket] != ownSums[bucket]) {
        found.put(bucket, fingerprints(bucket));
      }
    }
    return found;
  }

  private long[] fingerprints(int bucket) {
    return digest.bucketItems(bucket).values().stream().mapToLong(Long::longValue).toArray();
  }

  /** Compares buckets with those of a peer. */
  Difference compare(Map<Integer, long[]> peerBuckets) {
    Difference difference = new Difference();
    for (Map.Entry<Integer, long[]> bucket : peerBuckets.entrySet()) {
      Set<Long> unmatched = new HashSet<>();
      for (long fingerprint : bucket.getValue()) {
        unmatched.add(fingerprint);
      }
      for (Map.Entry<String, Long> item : digest.bucketItems(bucket.getKey()).entrySet()) {
        if (!unmatched.remove(item.getValue())) {
          add(difference, item.getKey());
        }
      }
      difference.wants.addAll(unmatched);
    }
    return difference;
  }

  /** Returns the items of some buckets whose fingerprints a peer requested. */
  Difference select(Set<Integer> buckets, long[] wants) {
    Set<Long> requested = new HashSet<>();
    for (long fingerprint : wants) {
      requested.add(fingerprint);
    }
    Difference found = new Difference();
    for (int bucket : buckets) {
      for (Map.Entry<String, Long> item : digest.bucketItems(bucket).entrySet()) {
        if (requested.contains(item.getValue())) {
          add(found, item.getKey());
        }
      }
    }
    return found;
  }

  private void add(Difference difference, String key) {
    if (difference.members.size() + difference.entries.size() >= MAX_ITEMS_PER_MESSAGE) {
      return;
    }
    if (key.startsWith(MEMBER_PREFIX)) {
      difference.members.add(members.get(key.substring(MEMBER_PREFIX.length())));
    } else {
      difference.entries.add(entries.get(key));
    }
  }

  /** Items missing at the peer, and fingerprints of items missing at this daemon. */
  static final class Difference {
    final List<MemberRecord> members = new ArrayList<>();
    final List<SharedEntry> entries = new ArrayList<>();
    final List<Long> wants = new ArrayList<>();

    long[] wantsArray() {
      return wants.stream().mapToLong(Long::longValue).toArray();
    }
  }
}
