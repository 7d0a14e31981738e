package org.heatherspread.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import org.heatherspread.core.capacity.DemandMeter.Total;
import org.junit.jupiter.api.Test;

class DemandMeterTest {
  private final DemandMeter meter = DemandMeter.create();

  private void sample(double one, double other, long atMillis) {
    meter.sample(Map.of("a", new Total(one, atMillis), "b", new Total(other, atMillis)));
  }

  @Test
  void sumsTheWorkOfAllDaemons() {
    sample(0, 0, 1_000);
    for (int second = 1; second <= 10; second++) {
      sample(1_500 * second, 500 * second, 1_000 + 1_000 * second);
    }
    assertThat(meter.busyEndpoints()).isBetween(1.95, 2.05);
  }

  @Test
  void risesWithinSecondsAndFallsSlowly() {
    sample(0, 0, 0);
    sample(4_000, 4_000, 1_000);
    assertThat(meter.busyEndpoints()).isGreaterThan(6);
    sample(4_000, 4_000, 2_000);
    assertThat(meter.busyEndpoints()).isGreaterThan(5);
  }

  @Test
  void ignoresUnchangedReports() {
    sample(0, 0, 0);
    sample(4_000, 4_000, 1_000);
    double before = meter.busyEndpoints();
    sample(4_000, 4_000, 1_000);
    assertThat(meter.busyEndpoints()).isEqualTo(before);
  }

  /** With many daemons, few of them have a new report between two samples. */
  @Test
  void countsDaemonsWithoutNewReport() {
    int daemons = 30;
    Map<String, Total> samples = new HashMap<>();
    for (long millis = 0; millis <= 20_000; millis += 100) {
      int reporting = (int) (millis / 100 % daemons);
      samples.put("d" + reporting, new Total(0.5 * millis, millis));
      meter.sample(samples);
    }
    assertThat(meter.busyEndpoints()).isBetween(14.0, 16.0);
  }

  /** The total of a restarted daemon starts from zero, which must not count as negative work. */
  @Test
  void ignoresTotalsOfRestartedDaemons() {
    sample(9_000, 9_000, 1_000);
    sample(10_000, 10_000, 2_000);
    sample(10, 11_000, 3_000);
    assertThat(meter.busyEndpoints()).isPositive();
  }
}
