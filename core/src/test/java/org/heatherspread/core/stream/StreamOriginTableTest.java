package org.heatherspread.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class StreamOriginTableTest {
  private static final StreamOrigin ORIGIN = new StreamOrigin("s", "v1");

  private final ManualClock clock = ManualClock.create();
  private final StreamOriginTable table = StreamOriginTable.create(clock, 100);

  @Test
  void originOfAnAttemptNeverChanges() {
    table.add("a", ORIGIN, 1_000);
    table.add("a", new StreamOrigin("s", "v2"), 1_000);
    assertThat(table.find("a")).contains(ORIGIN);
    assertThat(table.find("b")).isEmpty();
  }

  @Test
  void expiredOriginIsUnknown() {
    table.add("a", ORIGIN, 1_000);
    clock.advance(Duration.ofMillis(1_000));
    assertThat(table.find("a")).isEmpty();
  }

  @Test
  void oldestEntriesAreDroppedBeyondTheMaximum() {
    for (int i = 0; i < 1_000; i++) {
      table.add("a" + i, ORIGIN, 1_000);
    }
    assertThat(table.size()).isEqualTo(100);
    assertThat(table.find("a899")).isEmpty();
    assertThat(table.find("a900")).contains(ORIGIN);
  }
}
