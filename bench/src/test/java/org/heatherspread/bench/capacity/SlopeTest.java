package org.heatherspread.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class SlopeTest {
  @Test
  void fitsLineAndTellsMissedBudget() {
    double[] sizes = {1, 2, 4};
    double[] values = {5, 7, 11};
    Slope slope = Slope.through(sizes, values);
    assertThat(slope.base()).isCloseTo(3, within(1e-9));
    assertThat(slope.at(100)).isCloseTo(203, within(1e-9));
    assertThat(slope.fit()).isCloseTo(1, within(1e-9));
    assertThat(new RoleCost("x", "y", sizes, values, 100, 202).held()).isFalse();
    assertThat(new RoleCost("x", "y", sizes, values, 100, 204).held()).isTrue();
  }
}
