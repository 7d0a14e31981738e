package org.heatherspread.relay.buffer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class BufferBudgetTest {
  private static final int HEAP_BYTES = 16 << 20;
  private static final int LARGE_BYTES = 1 << 20;
  private static final int SMALL_BYTES = BufferBudget.SMALL_BODY_BYTES;

  private final BufferBudget budget = BufferBudget.forHeap(HEAP_BYTES);

  private int reserveUntilRefused(int bytes) {
    int count = 0;
    while (budget.reserveRequest(0, bytes)) {
      count++;
    }
    return count;
  }

  @Test
  void largeBodiesLeaveTheirShareToSmallOnes() {
    assertThat(reserveUntilRefused(LARGE_BYTES)).isEqualTo(10);
    assertThat(budget.reserveRequest(0, SMALL_BYTES)).isTrue();
    assertThat(budget.reserveRequest(0, LARGE_BYTES)).isFalse();
  }

  @Test
  void largeBodiesAndResponsesTogetherLeaveTheShareOfSmallOnes() {
    assertThat(reserveUntilRefused(LARGE_BYTES)).isEqualTo(10);
    budget.hold(2 * LARGE_BYTES);
    assertThat(budget.isFull()).isTrue();
    assertThat(reserveUntilRefused(SMALL_BYTES)).isEqualTo(LARGE_BYTES / SMALL_BYTES);
    assertThat(budget.usedBytes()).isEqualTo(budget.maxBytes());
  }

  @Test
  void refusedReservationChangesNothing() {
    reserveUntilRefused(LARGE_BYTES);
    long usedBytes = budget.usedBytes();
    assertThat(budget.reserveRequest(0, LARGE_BYTES)).isFalse();
    assertThat(budget.usedBytes()).isEqualTo(usedBytes);
  }

  @Test
  void releasedBytesAreAvailableAgain() {
    int count = reserveUntilRefused(LARGE_BYTES);
    for (int i = 0; i < count; i++) {
      budget.releaseRequest(LARGE_BYTES);
    }
    assertThat(budget.usedBytes()).isZero();
    assertThat(reserveUntilRefused(LARGE_BYTES)).isEqualTo(count);
  }

  /** A body without a declared length becomes a large one while it is read. */
  @Test
  void bodyThatGrowsCountsAsLargeInFull() {
    assertThat(budget.reserveRequest(0, SMALL_BYTES)).isTrue();
    assertThat(budget.reserveRequest(SMALL_BYTES, LARGE_BYTES)).isTrue();
    assertThat(reserveUntilRefused(LARGE_BYTES)).isEqualTo(9);
    budget.releaseRequest(LARGE_BYTES);
    assertThat(reserveUntilRefused(LARGE_BYTES)).isEqualTo(1);
  }

  @Test
  void largestResponseIsGivenUpForSmallerOnes() {
    List<String> evicted = new ArrayList<>();
    BufferBudget.Holder large = () -> evicted.add("large");
    BufferBudget.Holder small = () -> evicted.add("small");
    assertThat(budget.reserve(small, SMALL_BYTES)).isTrue();
    assertThat(budget.reserve(large, 3 * LARGE_BYTES)).isTrue();
    assertThat(budget.reserve(small, LARGE_BYTES)).isTrue();
    assertThat(evicted).containsExactly("large");
    assertThat(budget.usedBytes()).isEqualTo(LARGE_BYTES + SMALL_BYTES);
    budget.release(small);
    assertThat(budget.usedBytes()).isZero();
  }

  @Test
  void acceptedBodiesAreNotGivenUpForResponses() {
    int count = reserveUntilRefused(LARGE_BYTES);
    BufferBudget.Holder response = () -> {};
    assertThat(budget.reserve(response, 2 * LARGE_BYTES)).isTrue();
    assertThat(budget.reserve(response, LARGE_BYTES)).isFalse();
    assertThat(budget.usedBytes()).isEqualTo((count + 2L) * LARGE_BYTES);
  }
}
