package org.heatherspread.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Computes scores of highest random weight hashing (Thaler and Ravishankar, 1998), by which daemons
 * select the same endpoint for a key without communicating. The mixing step is the finalizer of
 * SplitMix64. Stateless and thread-safe.
 */
public final class RendezvousHash {
  private RendezvousHash() {}

  /** Returns the part of an endpoint's score that depends on its id only. */
  public static long seed(String id) {
    long hash = 0xCBF29CE484222325L;
    for (int i = 0; i < id.length(); i++) {
      hash = (hash ^ id.charAt(i)) * 0x100000001B3L;
    }
    return mix(hash);
  }

  /**
   * Returns the score of an endpoint for a key, which is never negative; the highest score wins.
   */
  public static long score(long seed, long key) {
    return mix(seed ^ key) >>> 1;
  }

  /**
   * Selects the candidates with the highest scores for a key, the highest first.
   *
   * @param count maximum number of candidates to select
   */
  public static List<String> select(Collection<String> candidates, String key, int count) {
    long keySeed = seed(key);
    List<Scored> scored = new ArrayList<>(candidates.size());
    for (String candidate : candidates) {
      scored.add(new Scored(candidate, score(seed(candidate), keySeed)));
    }
    scored.sort(Comparator.comparingLong(Scored::score).reversed());
    return scored.stream().limit(count).map(Scored::candidate).toList();
  }

  private record Scored(String candidate, long score) {}

  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
