package org.heatherspread.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Set;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class EndpointLimitTableTest {
  private static final String ENDPOINT = "e-1";
  private static final long STARTED = 1_000;
  private static final OptionalDouble NONE = OptionalDouble.empty();

  private final ManualClock clock = ManualClock.create();
  private final EndpointLimitTable table = EndpointLimitTable.create(clock, 8);

  private boolean respond(double rate, long sentMillis) {
    return table.recordResponse(ENDPOINT, STARTED, OptionalDouble.of(rate), sentMillis);
  }

  private boolean isLimited() {
    return table.limit(ENDPOINT, STARTED).isPresent();
  }

  private static LimitObservation observation(double rate, long ageMillis) {
    return new LimitObservation(ENDPOINT, STARTED, rate, ageMillis);
  }

  @Test
  void limitEndsOnlyWithResponseToLaterRequest() {
    clock.advance(Duration.ofMillis(1_000));
    long beforeNaming = clock.millis() - 10;
    assertThat(respond(2, beforeNaming)).isTrue();
    assertThat(respond(2, beforeNaming)).isFalse();
    assertThat(table.recordResponse(ENDPOINT, STARTED, NONE, beforeNaming)).isFalse();
    assertThat(isLimited()).isTrue();
    clock.advance(Duration.ofMillis(10));
    assertThat(table.recordResponse(ENDPOINT, STARTED, NONE, clock.millis())).isTrue();
    assertThat(isLimited()).isFalse();
  }

  @Test
  void newerObservationOfAnyDaemonHolds() {
    clock.advance(Duration.ofMillis(60_000));
    assertThat(table.merge(List.of(observation(2, 500)), 0)).containsExactly(ENDPOINT);
    assertThat(table.merge(List.of(observation(3, 800)), 0)).isEmpty();
    assertThat(table.merge(List.of(observation(4, 100)), 0)).containsExactly(ENDPOINT);
    assertThat(table.merge(List.of(observation(LimitObservation.NONE, 10)), 0))
        .containsExactly(ENDPOINT);
    assertThat(table.merge(List.of(observation(4, 100)), 0)).isEmpty();
    assertThat(isLimited()).isFalse();
  }

  @Test
  void limitOfOneIncarnationDoesNotHoldForAnother() {
    respond(2, 0);
    assertThat(table.limit(ENDPOINT, STARTED + 1)).isEmpty();
    table.recordResponse(ENDPOINT, STARTED + 1, OptionalDouble.of(5), 0);
    assertThat(respond(2, 0)).isFalse();
    assertThat(table.limits()).containsExactly(new EndpointLimit(ENDPOINT, STARTED + 1, 5));
  }

  @Test
  void endpointIsClosedUntilItsLimitAdmitsAgainOrChanges() {
    respond(2, 0);
    EndpointLimit limit = table.limit(ENDPOINT, STARTED).orElseThrow();
    table.close(limit, 400);
    assertThat(table.closedEndpoints()).containsExactly(ENDPOINT);
    clock.advance(Duration.ofMillis(400));
    assertThat(table.closedEndpoints()).isEmpty();
    table.close(limit, 400);
    respond(9, 0);
    assertThat(table.closedEndpoints()).isEmpty();
  }

  @Test
  void endOfLimitOfZeroIsObserved() {
    respond(0, 0);
    assertThat(table.limit(ENDPOINT, STARTED).orElseThrow().ratePerSecond()).isPositive();
  }

  @Test
  void onlyOwnRecentObservationsAreReported() {
    respond(2, 0);
    table.merge(List.of(new LimitObservation("e-2", STARTED, 3, 0)), 0);
    assertThat(table.ownObservations()).containsExactly(observation(2, 0));
    clock.advance(Duration.ofMillis(11_000));
    assertThat(table.ownObservations()).isEmpty();
  }

  @Test
  void limitsOfEndpointsThatAreGoneAreDropped() {
    for (int i = 0; i < 1_000; i++) {
      table.merge(List.of(new LimitObservation("gone-" + i, STARTED, 3, 0)), 0);
    }
    respond(2, 0);
    clock.advance(Duration.ofMillis(31_000));
    table.removeExpired(Set.of(ENDPOINT));
    assertThat(table.limits()).hasSize(1);
  }
}
