package org.heatherspread.node.soak;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Kinds of faults that a run draws from. The base kinds and the further ones have random sources of
 * their own, so that the base faults of a seed stay the same. Immutable.
 *
 * @param base whether the faults of the base kinds are injected
 * @param further kinds that are injected besides
 */
record FaultSchedule(boolean base, List<FaultKind> further) {
  private static final int MAX_OVERLAPPING = 4;

  /** Returns the schedule of the base kinds only. */
  static FaultSchedule base(long seed) {
    return new FaultSchedule(true, List.of());
  }

  /**
   * Returns the schedule of all kinds: an even seed injects one of the further kinds alone, an odd
   * one some of them together with the base kinds.
   */
  static FaultSchedule all(long seed) {
    List<FaultKind> kinds = new ArrayList<>(FaultKind.FURTHER);
    if (seed % 2 == 0) {
      return new FaultSchedule(false, List.of(kinds.get((int) (seed / 2 % kinds.size()))));
    }
    SplittableRandom random = new SplittableRandom(~seed);
    int count = 1 + random.nextInt(MAX_OVERLAPPING);
    while (kinds.size() > count) {
      kinds.remove(random.nextInt(kinds.size()));
    }
    return new FaultSchedule(true, List.copyOf(kinds));
  }

  /** Returns whether no fault of the run is a reason to lose a request. */
  boolean losesNothing() {
    return !base && FaultKind.WITHOUT_LOSS.containsAll(further);
  }
}
