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

  /** First seed that draws from all further kinds; earlier ones keep those that they had. */
  static final long FIRST_SEED_OF_ALL_KINDS = 17_000;

  /** Returns the schedule of the base kinds only. */
  static FaultSchedule base(long seed) {
    return new FaultSchedule(true, List.of());
  }

  /** Returns the schedule of one further kind without others. */
  static FaultSchedule only(FaultKind kind) {
    return new FaultSchedule(false, List.of(kind));
  }

  /**
   * Returns the schedule of all kinds: an even seed injects one of the further kinds alone, an odd
   * one some of them together with the base kinds.
   */
  static FaultSchedule all(long seed) {
    List<FaultKind> kinds =
        new ArrayList<>(
            seed < FIRST_SEED_OF_ALL_KINDS
                ? FaultKind.FURTHER_OF_EARLIER_SEEDS
                : FaultKind.FURTHER);
    if (seed % 2 == 0) {
      return only(kinds.get((int) (seed / 2 % kinds.size())));
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
