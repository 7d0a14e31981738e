package org.heatherspread.core.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Set;
import org.heatherspread.core.poison.EndpointLossTracker.NextStep;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class EndpointLossTrackerTest {
  private static final EndpointIncarnation ENDPOINT = new EndpointIncarnation("e", 1);
  private static final Suspect FIRST = Suspect.request("first");
  private static final Suspect SECOND = Suspect.request("second");

  private final ManualClock clock = ManualClock.create();
  private final EndpointLossTracker tracker = EndpointLossTracker.create(clock);

  @Test
  void probesOnceAndCountsAllLossesOfOneCrash() {
    assertThat(tracker.recordLoss(ENDPOINT, Set.of(FIRST))).isEqualTo(NextStep.PROBE);
    assertThat(tracker.recordLoss(ENDPOINT, Set.of(SECOND))).isEqualTo(NextStep.AWAIT_PROBE);
    assertThat(tracker.resolveAsCrash(ENDPOINT)).containsExactlyInAnyOrder(FIRST, SECOND);
    assertThat(tracker.recordLoss(ENDPOINT, Set.of(FIRST))).isEqualTo(NextStep.COUNT_CRASH);
    assertThat(tracker.resolveAsCrash(ENDPOINT)).isEmpty();
  }

  /** The successor of a crashed endpoint may accept the probe. */
  @Test
  void acceptedProbeDoesNotRefuteLosses() {
    tracker.recordLoss(ENDPOINT, Set.of(FIRST));
    tracker.connectionAccepted(ENDPOINT);
    assertThat(tracker.isUnresolved(ENDPOINT)).isTrue();
    assertThat(tracker.recordLoss(ENDPOINT, Set.of(SECOND))).isEqualTo(NextStep.PROBE);
    assertThat(tracker.resolveAsCrash(ENDPOINT)).containsExactlyInAnyOrder(FIRST, SECOND);
  }

  /** The registration that tells the new incarnation may arrive later, or the store may be away. */
  @Test
  void endpointThatAcceptsConnectionsAgainHasAnotherCrash() {
    tracker.recordLoss(ENDPOINT, Set.of(FIRST));
    tracker.resolveAsCrash(ENDPOINT);
    final String firstCrash = tracker.crashId(ENDPOINT);
    tracker.connectionAccepted(ENDPOINT);
    assertThat(tracker.isUnresolved(ENDPOINT)).isFalse();
    assertThat(tracker.recordLoss(ENDPOINT, Set.of(SECOND))).isEqualTo(NextStep.PROBE);
    assertThat(tracker.resolveAsCrash(ENDPOINT)).containsExactly(SECOND);
    assertThat(tracker.crashId(ENDPOINT)).isNotEqualTo(firstCrash);
  }

  @Test
  void responseToLaterRequestRefutesEarlierLosses() {
    long beforeMillis = clock.millis();
    clock.advance(Duration.ofMillis(10));
    tracker.recordLoss(ENDPOINT, Set.of(FIRST));
    assertThat(tracker.resolveAsAlive(ENDPOINT, beforeMillis)).isFalse();
    assertThat(tracker.resolveAsAlive(ENDPOINT, clock.millis() + 1)).isTrue();
    assertThat(tracker.resolveAsCrash(ENDPOINT)).isEmpty();
  }

  @Test
  void forgetsOldLosses() {
    for (int i = 0; i < 10_000; i++) {
      tracker.recordLoss(new EndpointIncarnation("e" + i, 1), Set.of(FIRST));
    }
    assertThat(tracker.isUnresolved(new EndpointIncarnation("e0", 1))).isFalse();
    assertThat(tracker.isUnresolved(new EndpointIncarnation("e9999", 1))).isTrue();
    clock.advance(Duration.ofMinutes(1));
    assertThat(tracker.isUnresolved(new EndpointIncarnation("e9999", 1))).isFalse();
  }
}
