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
class PoisonLedgerTest {
  private final ManualClock clock = ManualClock.create();
  private final PoisonLedger ledger = PoisonLedger.create(PoisonLimits.defaults(), clock);

  @Property(tries = 3_000, seed = "99")
  void poisonIsStoppedAfterSecondCrashAndNobodyElse(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed,
      @ForAll @IntRange(min = 1, max = 3) int daemons) {
    PoisonWorld world = new PoisonWorld(seed, daemons, Set.of(0));
    world.play();
    assertThat(world.refused).as("refused, seed %d", seed).isSubsetOf(0);
    assertThat(world.crashes.getOrDefault(0, 0)).as("crashes, seed %d", seed).isLessThan(3);
    int accounted = world.answered + world.waiting.size() + world.refused.size() + world.running();
    assertThat(accounted).isEqualTo(PoisonWorld.REQUESTS);
  }

  @Property(tries = 2_000, seed = "100")
  void twoPoisonsNeverTakeNeighboursWithThem(
      @ForAll @LongRange(min = 0, max = 1L << 40) long seed) {
    PoisonWorld world = new PoisonWorld(seed, 2, Set.of(0, 1));
    world.play();
    assertThat(world.refused).as("refused, seed %d", seed).isSubsetOf(0, 1);
    assertThat(world.crashes.values()).as("seed %d", seed).allMatch(count -> count <= 3);
  }

  @Example
  void schedulesStopThePoisonAndAnswerTheOthers() {
    int stopped = 0;
    int answered = 0;
    for (long seed = 0; seed < 100; seed++) {
      PoisonWorld world = new PoisonWorld(seed, 2, Set.of(0));
      world.play();
      stopped += world.refused.contains(0) ? 1 : 0;
      answered += world.answered;
    }
    assertThat(stopped).isGreaterThan(90);
    assertThat(answered).isGreaterThan(100 * (PoisonWorld.REQUESTS - 2));
  }

  @Example
  void checkFindsSuspectsThatShareEndpoints() {
    int blamed = 0;
    for (long seed = 0; seed < 500; seed++) {
      PoisonWorld world = new PoisonWorld(seed, 2, Set.of(0, 1)).withSuspectsSharingEndpoints();
      world.play();
      blamed += Set.of(0, 1).containsAll(world.refused) ? 0 : 1;
    }
    assertThat(blamed).isPositive();
  }

  @Example
  void sameCrashFromTwoDaemonsCountsOnce() {
    EndpointLife life = new EndpointLife("e1", 1);
    ledger.dispatched("r", life);
    ledger.lost("r", life);
    ledger.crashed(life);
    ledger.heard(new Evidence("r", Set.of(life.crashId()), Set.of(), false));
    assertThat(ledger.standing("r")).isEqualTo(Standing.SUSPECT);
    ledger.heard(new Evidence("r", Set.of("e2@1"), Set.of(), false));
    assertThat(ledger.standing("r")).isEqualTo(Standing.POISONED);
  }

  @Example
  void reclaimAndCutNetworkAreNoEvidence() {
    EndpointLife life = new EndpointLife("e1", 1);
    ledger.dispatched("r", life);
    ledger.lost("r", life);
    assertThat(ledger.standing("r")).isEqualTo(Standing.SUSPECT);
    ledger.notCrashed(life);
    assertThat(ledger.standing("r")).isEqualTo(Standing.CLEAR);
  }

  @Example
  void verdictIsForgottenAfterItsTime() {
    ledger.heard(new Evidence("r", Set.of("e1@1", "e2@1"), Set.of(), true));
    assertThat(ledger.standing("r")).isEqualTo(Standing.POISONED);
    clock.advance(Duration.ofMinutes(31));
    assertThat(ledger.standing("r")).isEqualTo(Standing.CLEAR);
  }

  @Example
  void fingerprintTellsServiceFromBody() {
    assertThat(Fingerprints.of("ab", bytes("c"))).isNotEqualTo(Fingerprints.of("a", bytes("bc")));
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
