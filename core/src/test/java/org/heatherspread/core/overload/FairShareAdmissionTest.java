package org.heatherspread.core.overload;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FairShareAdmissionTest {
  @Property(seed = "91", tries = 100)
  void largeAccountCannotStarveSmallAccounts(
      @ForAll @IntRange(min = 2, max = 500) int large,
      @ForAll @IntRange(min = 1, max = 4) int others) {
    FairShareAdmission admission = FairShareAdmission.create();
    for (int i = 0; i < large; i++) {
      assertThat(admission.tryAcquire("large", 0, 0.5)).isTrue();
    }
    assertThat(admission.tryAcquire("large", 0, 1.2)).isFalse();
    for (int i = 0; i < others; i++) {
      assertThat(admission.tryAcquire("small-" + i, 0, 1.2)).isTrue();
    }
    admission.release("small-0");
    assertThat(admission.totalInProgress()).isEqualTo(large + others - 1);
  }

  @Test
  void rejectsTheLowestPriorityFirst() {
    FairShareAdmission admission = FairShareAdmission.create();
    assertThat(admission.tryAcquire("a", 0, 1.8)).isFalse();
    assertThat(admission.tryAcquire("a", 1, 1.8)).isTrue();
    assertThat(admission.tryAcquire("b", 1, 2.2)).isFalse();
    assertThat(admission.tryAcquire("b", 2, 2.2)).isTrue();
    assertThat(admission.tryAcquire("c", 9, 99)).isFalse();
  }
}
