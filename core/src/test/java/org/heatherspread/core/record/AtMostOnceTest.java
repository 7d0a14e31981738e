package org.heatherspread.core.record;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.heatherspread.core.record.CallSimulation.Mutation;

/**
 * Checks that a call that must not be repeated runs at most once under loss, delay, duplication and
 * crashes.
 */
class AtMostOnceTest {
  private static final int STEPS = 160;
  private static final int SEEDS_FOR_MUTATIONS = 3_000;

  @Property(tries = 6_000, seed = "4711")
  void holdsUnderRandomSchedules(@ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    assertThat(findViolation(seed, Mutation.NONE)).as("seed %d", seed).isEmpty();
  }

  @Example
  void checkFindsEveryMutation() {
    for (Mutation mutation : Mutation.values()) {
      long found = 0;
      for (long seed = 0; seed < SEEDS_FOR_MUTATIONS; seed++) {
        found += findViolation(seed, mutation).isEmpty() ? 0 : 1;
      }
      if (mutation == Mutation.NONE) {
        assertThat(found).isZero();
      } else {
        assertThat(found).as("violations found for %s", mutation).isPositive();
      }
    }
  }

  @Example
  void schedulesReachEveryReportedState() {
    Set<CallState> reached = EnumSet.noneOf(CallState.class);
    for (long seed = 0; seed < 500; seed++) {
      CallSimulation simulation = new CallSimulation(seed, Mutation.NONE);
      simulation.run(STEPS);
      reached.addAll(simulation.reportedStates.keySet());
    }
    assertThat(reached)
        .contains(
            CallState.ANSWERED,
            CallState.NOT_RUN,
            CallState.UNKNOWN,
            CallState.IN_PROGRESS,
            CallState.NOT_HELD);
  }

  private static String findViolation(long seed, Mutation mutation) {
    CallSimulation simulation = new CallSimulation(seed, mutation);
    simulation.run(STEPS);
    for (var run : simulation.runs.entrySet()) {
      if (run.getValue() > 1) {
        return "ran " + run.getValue() + " times: " + run.getKey();
      }
    }
    for (RequestId id : simulation.reportedNotRun) {
      if (simulation.runs.containsKey(id)) {
        return "reported as not run but ran: " + id;
      }
    }
    return simulation.wrongResponses.isEmpty() ? "" : simulation.wrongResponses.get(0);
  }
}
