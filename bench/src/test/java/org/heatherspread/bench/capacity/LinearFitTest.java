package org.heatherspread.bench.capacity;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class LinearFitTest {
  @Test
  void fitsLineAndDetectsExceededBudget() {
    double[] sizes = {1, 2, 4};
    double[] values = {5, 7, 11};
    LinearFit fit = LinearFit.fit(sizes, values);
    assertThat(fit.intercept()).isCloseTo(3, within(1e-9));
    assertThat(fit.valueAt(100)).isCloseTo(203, within(1e-9));
    assertThat(fit.coefficientOfDetermination()).isCloseTo(1, within(1e-9));
    assertThat(new CostMeasurement("x", "y", sizes, values, 100, 202).withinBudget()).isFalse();
    assertThat(new CostMeasurement("x", "y", sizes, values, 100, 204).withinBudget()).isTrue();
  }
}
