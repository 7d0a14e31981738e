package org.heatherspread.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ReportScheduleTest {
  private final ReportSchedule schedule = ReportSchedule.of(Duration.ofMillis(500));

  @Test
  void smallFleetReportsAtTheMinimumInterval() {
    assertThat(schedule.interval(8)).isEqualTo(Duration.ofMillis(500));
    assertThat(schedule.lifetime(8, Duration.ofSeconds(30))).isEqualTo(Duration.ofSeconds(30));
  }

  @Test
  void reportsOfLargeFleetStayWithinTheTotalRate() {
    Duration interval = schedule.interval(880);
    assertThat(880 / (interval.toMillis() / 1_000.0)).isLessThanOrEqualTo(20.0);
    assertThat(schedule.lifetime(880, Duration.ofSeconds(30))).isGreaterThan(interval);
  }
}
