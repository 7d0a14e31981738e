package org.heatherspread.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Finds what two daemons hold differently, bucket by bucket, a few buckets at a time, so that the
 * cost of one comparison is bounded however much differs.
 *
 * <p>Not safe for use by several threads.
 */
final class Reconciler {
  private static final int BUCKETS_AT_ONCE = 4;
  private static final int MAX_ITEMS = 512;
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

  /** Returns the fingerprints of a few buckets whose sums differ from another daemon's. */
  Map<Integer, long[]> differing(int[] sums) {
    int[] mine = digest.sums();
    Map<Integer, long[]> found = new HashMap<>();
    int first = random.nextInt(Digest.BUCKETS);
    for (int i = 0; i < Digest.BUCKETS && found.size() < BUCKETS_AT_ONCE; i++) {
      int bucket = (first + i) % Digest.BUCKETS;
      if (bucket < sums.length && sums[bucket] != mine[bucket]) {
        found.put(bucket, fingerprints(bucket));
      }
    }
    return found;
  }

  private long[] fingerprints(int bucket) {
    return digest.bucketItems(bucket).values().stream().mapToLong(Long::longValue).toArray();
  }

  /** Compares some buckets with those of another daemon. */
  Difference compare(Map<Integer, long[]> theirs) {
    Difference difference = new Difference();
    for (Map.Entry<Integer, long[]> bucket : theirs.entrySet()) {
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

  /** Returns the items of some buckets that another daemon asked for. */
  Difference wanted(Set<Integer> buckets, long[] wants) {
    Set<Long> wanted = new HashSet<>();
    for (long fingerprint : wants) {
      wanted.add(fingerprint);
    }
    Difference found = new Difference();
    for (int bucket : buckets) {
      for (Map.Entry<String, Long> item : digest.bucketItems(bucket).entrySet()) {
        if (wanted.contains(item.getValue())) {
          add(found, item.getKey());
        }
      }
    }
    return found;
  }

  private void add(Difference difference, String key) {
    if (difference.members.size() + difference.entries.size() >= MAX_ITEMS) {
      return;
    }
    if (key.startsWith(MEMBER_PREFIX)) {
      difference.members.add(members.get(key.substring(MEMBER_PREFIX.length())));
    } else {
      difference.entries.add(entries.get(key));
    }
  }

  /** Items that the other daemon lacks, and fingerprints of those that this one lacks. */
  static final class Difference {
    final List<MemberRecord> members = new ArrayList<>();
    final List<SharedEntry> entries = new ArrayList<>();
    final List<Long> wants = new ArrayList<>();

    long[] wantsArray() {
      return wants.stream().mapToLong(Long::longValue).toArray();
    }
  }
}
