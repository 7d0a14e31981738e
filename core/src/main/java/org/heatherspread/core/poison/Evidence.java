package org.heatherspread.core.poison;

import java.util.HashSet;
import java.util.Set;

/**
 * Evidence on one request, as daemons exchange it. Both sets only grow and the flag is only ever
 * set, so that evidence from several daemons merges to the same result in any order. Immutable.
 *
 * @param fingerprint identifies the request independently of its id
 * @param crashes ids of the crashes that the request was involved in
 * @param cleared ids of those crashes that the request did not cause
 * @param poisoned whether a daemon has found the request to be poisoned
 */
public record Evidence(
    String fingerprint, Set<String> crashes, Set<String> cleared, boolean poisoned) {
  /** Copies the sets. */
  public Evidence {
    crashes = Set.copyOf(crashes);
    cleared = Set.copyOf(cleared);
  }

  /** Returns the evidence on a request that was involved in no crash. */
  public static Evidence none(String fingerprint) {
    return new Evidence(fingerprint, Set.of(), Set.of(), false);
  }

  /** Returns the ids of the crashes that count against the request. */
  public Set<String> unclearedCrashes() {
    Set<String> remaining = new HashSet<>(crashes);
    remaining.removeAll(cleared);
    return remaining;
  }

  /** Merges with evidence on the same request from another daemon. */
  public Evidence merge(Evidence other) {
    return new Evidence(
        fingerprint,
        union(crashes, other.crashes),
        union(cleared, other.cleared),
        poisoned || other.poisoned);
  }

  Evidence withCrash(String crash) {
    return new Evidence(fingerprint, union(crashes, Set.of(crash)), cleared, poisoned);
  }

  Evidence withCleared(Set<String> additional) {
    return new Evidence(fingerprint, crashes, union(cleared, additional), poisoned);
  }

  Evidence asPoisoned() {
    return new Evidence(fingerprint, crashes, cleared, true);
  }

  private static Set<String> union(Set<String> first, Set<String> second) {
    Set<String> union = new HashSet<>(first);
    union.addAll(second);
    return union;
  }
}
