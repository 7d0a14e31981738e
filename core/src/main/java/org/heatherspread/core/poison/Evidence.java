package org.heatherspread.core.poison;

import java.util.HashSet;
import java.util.Set;

/**
 * What is known of one request, as daemons exchange it. Both sets only grow, so that evidence from
 * several daemons joins in any order to the same result. Immutable.
 *
 * @param fingerprint names the request, whatever its id
 * @param crashes ids of the crashes that it took part in
 * @param cleared those of them that it is not to blame for
 * @param poisoned whether a daemon has found it to be poisoned
 */
public record Evidence(
    String fingerprint, Set<String> crashes, Set<String> cleared, boolean poisoned) {
  /** Copies the sets, so that the record stays immutable. */
  public Evidence {
    crashes = Set.copyOf(crashes);
    cleared = Set.copyOf(cleared);
  }

  /** Returns the evidence of a request that took part in no crash. */
  public static Evidence none(String fingerprint) {
    return new Evidence(fingerprint, Set.of(), Set.of(), false);
  }

  /** Returns the crashes that still count against the request. */
  public Set<String> unclearedCrashes() {
    Set<String> open = new HashSet<>(crashes);
    open.removeAll(cleared);
    return open;
  }

  /** Joins with evidence of the same request from another daemon. */
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

  Evidence withCleared(Set<String> more) {
    return new Evidence(fingerprint, crashes, union(cleared, more), poisoned);
  }

  Evidence asPoisoned() {
    return new Evidence(fingerprint, crashes, cleared, true);
  }

  private static Set<String> union(Set<String> first, Set<String> second) {
    Set<String> all = new HashSet<>(first);
    all.addAll(second);
    return all;
  }
}
