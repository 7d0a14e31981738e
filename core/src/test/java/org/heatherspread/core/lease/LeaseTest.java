package org.heatherspread.core.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.heatherspread.core.store.InMemoryTableStore;
import org.heatherspread.core.store.SteppedTableStore;
import org.heatherspread.core.store.TableStore;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class LeaseTest {
  private final ManualClock clock = ManualClock.create();
  private int ids;

  private LeaseKeeper keeper(String self, TableStore store) {
    return LeaseKeeper.create(
        "chat@a", self, LeaseSettings.defaults(), store, clock, () -> "w" + ids++);
  }

  private void pass(Duration interval, LeaseKeeper... awake) {
    for (long i = interval.toSeconds(); i > 0; i--) {
      clock.advance(Duration.ofSeconds(1));
      for (int rank = 0; rank < awake.length; rank++) {
        awake[rank].step(rank);
      }
    }
  }

  @Test
  void pausedHolderHoldsNothingWhenItWakesAndTheNextEpochIsHigher() {
    InMemoryTableStore store = InMemoryTableStore.create();
    LeaseKeeper first = keeper("d1", store);
    LeaseKeeper second = keeper("d2", store);
    pass(Duration.ofSeconds(10), first);
    assertThat(first.fencing()).hasValue(1);
    pass(Duration.ofSeconds(40), second);
    assertThat(first.fencing()).isEmpty();
    assertThat(second.fencing()).hasValue(2);
    pass(Duration.ofSeconds(10), first, second);
    assertThat(first.fencing()).isEmpty();
    assertThat(second.fencing()).hasValue(2);
  }

  @Test
  void lostAnswerOfRenewalIsReadBackAndReleaseHandsOver() {
    InMemoryTableStore store = InMemoryTableStore.create();
    LeaseKeeper first = keeper("d1", store);
    pass(Duration.ofSeconds(5), first);
    store.loseResponses(1);
    pass(Duration.ofSeconds(12), first);
    assertThat(first.fencing()).hasValue(1);
    first.release();
    LeaseKeeper second = keeper("d2", store);
    pass(Duration.ofSeconds(5), second);
    assertThat(second.fencing()).hasValue(2);
  }

  @Test
  void outageEndsTheHoldInTimeAndTheLeaseComesBack() {
    InMemoryTableStore store = InMemoryTableStore.create();
    LeaseKeeper first = keeper("d1", store);
    pass(Duration.ofSeconds(5), first);
    store.setOutage(true);
    pass(Duration.ofSeconds(14), first);
    assertThat(first.fencing()).isEmpty();
    store.setOutage(false);
    pass(Duration.ofSeconds(10), first);
    assertThat(first.fencing()).hasValue(1);
  }

  /**
   * Daemons whose clocks run at speeds up to 5 % apart, with pauses and a store that loses much.
   */
  @Property(tries = 200, seed = "5", shrinking = ShrinkingMode.OFF)
  void neverTwoHoldersAtOnceAndEachHolderHasItsOwnEpoch(@ForAll long seed) {
    Random random = new Random(seed);
    SteppedTableStore store = new SteppedTableStore(random, 0.2);
    List<ManualClock> clocks = new ArrayList<>();
    List<LeaseKeeper> keepers = new ArrayList<>();
    List<Double> speeds = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      ManualClock own = ManualClock.create();
      clocks.add(own);
      speeds.add(0.975 + 0.05 * random.nextDouble());
      String self = "d" + i;
      keepers.add(
          LeaseKeeper.create(
              "chat@a", self, LeaseSettings.defaults(), store, own, () -> "w" + ids++));
    }
    Map<Long, Integer> holderOfEpoch = new HashMap<>();
    int[] pausedUntil = new int[3];
    for (int tick = 0; tick < 1_200; tick++) {
      for (int i = 0; i < 3; i++) {
        clocks.get(i).advance(Duration.ofNanos((long) (250_000_000L * speeds.get(i))));
        if (random.nextInt(200) == 0) {
          pausedUntil[i] = tick + random.nextInt(200);
        }
        if (pausedUntil[i] <= tick) {
          keepers.get(i).step(i);
        }
      }
      for (int i = random.nextInt(4); i > 0; i--) {
        store.step();
      }
      checkHolders(keepers, holderOfEpoch);
    }
  }

  private static void checkHolders(List<LeaseKeeper> keepers, Map<Long, Integer> holderOfEpoch) {
    int holders = 0;
    for (int i = 0; i < keepers.size(); i++) {
      OptionalLong fencing = keepers.get(i).fencing();
      if (fencing.isPresent()) {
        holders++;
        Integer before = holderOfEpoch.putIfAbsent(fencing.getAsLong(), i);
        assertThat(before == null || before == i).as("one holder for each epoch").isTrue();
      }
    }
    assertThat(holders).isLessThanOrEqualTo(1);
  }
}
