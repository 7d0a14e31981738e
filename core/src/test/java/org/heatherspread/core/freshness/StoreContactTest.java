package org.heatherspread.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.heatherspread.core.store.SharedReadResult;
import org.junit.jupiter.api.Test;

class StoreContactTest {
  private long monoMillis = 1_000;
  private long wallMillis = 1_700_000_000_000L;
  private final StoreContact contact =
      StoreContact.create(() -> monoMillis * 1_000_000, () -> Instant.ofEpochMilli(wallMillis));

  private void pass(long millis) {
    monoMillis += millis;
    wallMillis += millis;
  }

  private boolean read(long tookMillis, long storeMillis) {
    StoreContact.Asked asked = contact.ask();
    pass(tookMillis);
    return contact.heard(asked, new SharedReadResult(List.of(), 1, storeMillis));
  }

  @Test
  void countsAgeFromWhenTheReadWasAskedFor() {
    assertThat(contact.ageMillis()).isEqualTo(Long.MAX_VALUE);
    assertThat(read(300, 50)).isTrue();
    assertThat(contact.ageMillis()).isEqualTo(300);
    pass(100);
    assertThat(contact.ageMillis()).isEqualTo(400);
    assertThat(contact.storeMillis()).isEqualTo(150);
  }

  @Test
  void seesSuspensionsThatTheMonotonicClockDoesNotCount() {
    read(0, 50);
    wallMillis += 6_000;
    assertThat(contact.ageMillis()).isEqualTo(6_000);
  }

  @Test
  void isNotYoungerWhenTheTimeOfDayGoesBack() {
    read(0, 50);
    monoMillis += 3_000;
    wallMillis -= 2_000;
    assertThat(contact.ageMillis()).isEqualTo(3_000);
  }

  @Test
  void doesNotTrustReadingsFromThePast() {
    read(0, 10_000);
    pass(5_000);
    assertThat(read(0, 12_000)).isFalse();
    assertThat(contact.ageMillis()).isEqualTo(5_000);
    assertThat(read(0, 15_000)).isTrue();
    assertThat(contact.ageMillis()).isZero();
  }

  @Test
  void takesTheMedianOfTheDaemonsTimesOfDay() {
    read(0, 1_000);
    long right = wallMillis - 1_000;
    TrueTime time = TrueTime.create(contact);
    time.offsets(List.of(right, right + 2_400, right + 3, right - 2, right + 2_400));
    assertThat(time.unixMillis()).isBetween(wallMillis - 2, wallMillis + 3);
    wallMillis += 2_400;
    assertThat(time.unixMillis()).isBetween(wallMillis - 2_402, wallMillis - 2_397);
  }

  @Test
  void staysOnTheMonotonicClockBetweenReads() {
    read(0, 500);
    pass(40);
    assertThat(contact.storeMillis()).isEqualTo(540);
  }
}
