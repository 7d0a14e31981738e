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

/** A poisoned request is stopped after its second crash; those that shared its batch are not. */
class PoisonDetectorTest {
  private final ManualClock clock = ManualClock.create();
  private final PoisonDetector ledger = PoisonDetector.create(PoisonPolicy.defaults(), clock);

  @Property(tries = 3_000, seed = "99")
  void poisonIsStoppedAfterSecondCrashAndNobodyElse(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed,
      @ForAll @IntRange(min = 1, max = 3) int daemons) {
    PoisonSimulation world = new PoisonSimulation(seed, daemons, Set.of(0));
    world.run();
    assertThat(world.refused).as("refused, seed %d", seed).isSubsetOf(0);
    assertThat(world.crashes.getOrDefault(0, 0)).as("crashes, seed %d", seed).isLessThan(3);
    int accounted = world.answered + world.waiting.size() + world.refused.size() + world.running();
    assertThat(accounted).isEqualTo(PoisonSimulation.REQUESTS);
  }

  @Property(tries = 2_000, seed = "100")
  void twoPoisonsNeverTakeNeighboursWithThem(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    PoisonSimulation world = new PoisonSimulation(seed, 2, Set.of(0, 1));
    world.run();
    assertThat(world.refused).as("refused, seed %d", seed).isSubsetOf(0, 1);
    assertThat(world.crashes.values()).as("seed %d", seed).allMatch(count -> count <= 3);
  }

  @Example
  void schedulesStopThePoisonAndAnswerTheOthers() {
    int stopped = 0;
    int answered = 0;
    for (long seed = 0; seed < 100; seed++) {
      PoisonSimulation world = new PoisonSimulation(seed, 2, Set.of(0));
      world.run();
      stopped += world.refused.contains(0) ? 1 : 0;
      answered += world.answered;
    }
    assertThat(stopped).isGreaterThan(90);
    assertThat(answered).isGreaterThan(100 * (PoisonSimulation.REQUESTS - 2));
  }

  @Example
  void checkFindsSuspectsThatShareEndpoints() {
    int blamed = 0;
    for (long seed = 0; seed < 500; seed++) {
      PoisonSimulation world =
          new PoisonSimulation(seed, 2, Set.of(0, 1)).withSuspectsSharingEndpoints();
      world.run();
      blamed += Set.of(0, 1).containsAll(world.refused) ? 0 : 1;
    }
    assertThat(blamed).isPositive();
  }

  @Example
  void sameCrashFromTwoDaemonsCountsOnce() {
    EndpointIncarnation life = new EndpointIncarnation("e1", 1);
    ledger.attemptDispatched("r", life);
    ledger.connectionLost("r", life);
    ledger.endpointCrashed(life);
    ledger.mergeEvidence(new Evidence("r", Set.of(life.crashId()), Set.of(), false));
    assertThat(ledger.status("r")).isEqualTo(PoisonStatus.SUSPECT);
    ledger.mergeEvidence(new Evidence("r", Set.of("e2@1"), Set.of(), false));
    assertThat(ledger.status("r")).isEqualTo(PoisonStatus.POISONED);
  }

  @Example
  void reclaimAndCutNetworkAreNoEvidence() {
    EndpointIncarnation life = new EndpointIncarnation("e1", 1);
    ledger.attemptDispatched("r", life);
    ledger.connectionLost("r", life);
    assertThat(ledger.status("r")).isEqualTo(PoisonStatus.SUSPECT);
    ledger.endpointNotCrashed(life);
    assertThat(ledger.status("r")).isEqualTo(PoisonStatus.CLEAR);
  }

  @Example
  void verdictIsForgottenAfterItsTime() {
    ledger.mergeEvidence(new Evidence("r", Set.of("e1@1", "e2@1"), Set.of(), true));
    assertThat(ledger.status("r")).isEqualTo(PoisonStatus.POISONED);
    clock.advance(Duration.ofMinutes(31));
    assertThat(ledger.status("r")).isEqualTo(PoisonStatus.CLEAR);
  }

  @Example
  void fingerprintTellsServiceFromBody() {
    assertThat(Fingerprints.of("ab", bytes("c"))).isNotEqualTo(Fingerprints.of("a", bytes("bc")));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
