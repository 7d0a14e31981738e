package org.heatherspread.core.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.heatherspread.core.time.ManualClock;

/**
 * Checks that a poison request is refused after its second crash, and that requests which ran on
 * the same endpoints are not.
 */
class PoisonDetectorTest {
  private final ManualClock clock = ManualClock.create();
  private final PoisonDetector detector = PoisonDetector.create(PoisonPolicy.defaults(), clock);

  @Property(tries = 3_000, seed = "99")
  void onlyThePoisonRequestIsRefusedAfterItsSecondCrash(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed,
      @ForAll @IntRange(min = 1, max = 3) int daemons) {
    PoisonSimulation simulation = new PoisonSimulation(seed, daemons, Set.of(0));
    simulation.run();
    assertThat(simulation.refused).as("refused, seed %d", seed).isSubsetOf(0);
    assertThat(simulation.crashes.getOrDefault(0, 0)).as("crashes, seed %d", seed).isLessThan(3);
    int accounted =
        simulation.answered
            + simulation.waiting.size()
            + simulation.refused.size()
            + simulation.running();
    assertThat(accounted).isEqualTo(PoisonSimulation.REQUESTS);
  }

  @Property(tries = 2_000, seed = "100")
  void twoPoisonRequestsCauseNoRefusalOfOthers(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    PoisonSimulation simulation = new PoisonSimulation(seed, 2, Set.of(0, 1));
    simulation.run();
    assertThat(simulation.refused).as("refused, seed %d", seed).isSubsetOf(0, 1);
    assertThat(simulation.crashes.values()).as("seed %d", seed).allMatch(count -> count <= 3);
  }

  @Example
  void simulationRefusesThePoisonRequestAndAnswersTheOthers() {
    int refusals = 0;
    int answered = 0;
    for (long seed = 0; seed < 100; seed++) {
      PoisonSimulation simulation = new PoisonSimulation(seed, 2, Set.of(0));
      simulation.run();
      refusals += simulation.refused.contains(0) ? 1 : 0;
      answered += simulation.answered;
    }
    assertThat(refusals).isGreaterThan(90);
    assertThat(answered).isGreaterThan(100 * (PoisonSimulation.REQUESTS - 2));
  }

  @Example
  void simulationDetectsSuspectsThatShareEndpoints() {
    int wrongRefusals = 0;
    for (long seed = 0; seed < 500; seed++) {
      PoisonSimulation simulation =
          new PoisonSimulation(seed, 2, Set.of(0, 1)).withSuspectsSharingEndpoints();
      simulation.run();
      wrongRefusals += Set.of(0, 1).containsAll(simulation.refused) ? 0 : 1;
    }
    assertThat(wrongRefusals).isPositive();
  }

  @Example
  void sameCrashFromTwoDaemonsCountsOnce() {
    EndpointIncarnation endpoint = new EndpointIncarnation("e1", 1);
    detector.attemptDispatched("r", endpoint);
    detector.connectionLost("r", endpoint);
    detector.endpointCrashed(endpoint);
    detector.mergeEvidence(new Evidence("r", Set.of(endpoint.crashId()), Set.of(), false));
    assertThat(detector.status("r")).isEqualTo(PoisonStatus.SUSPECT);
    detector.mergeEvidence(new Evidence("r", Set.of("e2@1"), Set.of(), false));
    assertThat(detector.status("r")).isEqualTo(PoisonStatus.POISONED);
  }

  @Example
  void lostConnectionWithoutCrashIsNoEvidence() {
    EndpointIncarnation endpoint = new EndpointIncarnation("e1", 1);
    detector.attemptDispatched("r", endpoint);
    detector.connectionLost("r", endpoint);
    assertThat(detector.status("r")).isEqualTo(PoisonStatus.SUSPECT);
    detector.endpointNotCrashed(endpoint);
    assertThat(detector.status("r")).isEqualTo(PoisonStatus.CLEAR);
  }

  @Example
  void evidenceExpires() {
    detector.mergeEvidence(new Evidence("r", Set.of("e1@1", "e2@1"), Set.of(), true));
    assertThat(detector.status("r")).isEqualTo(PoisonStatus.POISONED);
    clock.advance(Duration.ofMinutes(31));
    assertThat(detector.status("r")).isEqualTo(PoisonStatus.CLEAR);
  }

  @Example
  void fingerprintSeparatesServiceFromBody() {
    assertThat(Fingerprints.of("ab", bytes("c"))).isNotEqualTo(Fingerprints.of("a", bytes("bc")));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
