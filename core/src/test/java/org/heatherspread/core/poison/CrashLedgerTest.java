package org.heatherspread.core.poison;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.heatherspread.core.time.ManualClock;
import org.junit.jupiter.api.Test;

class CrashLedgerTest {
  private static final Duration REFUSAL = Duration.ofMinutes(2);
  private static final Duration RETENTION = Duration.ofMinutes(30);
  private static final CrashPolicy POLICY =
      new CrashPolicy(3, 4, REFUSAL, RETENTION, Duration.ofMinutes(1), 100);
  private static final Suspect CULPRIT = Suspect.request("culprit");
  private static final Suspect SEGMENT = Suspect.promptSegment(0xdeadL);
  private static final Suspect SOUND = Suspect.request("another");

  private final ManualClock clock = ManualClock.create();
  private final CrashLedger ledger = CrashLedger.create(POLICY, clock);

  private static void recordCrashes(CrashLedger ledger, Suspect suspect, int from, int to) {
    for (int crash = from; crash < to; crash++) {
      ledger.recordCrash(List.of(suspect), "e" + crash);
    }
  }

  @Test
  void refusesSuspectAtTheThirdCrash() {
    recordCrashes(ledger, CULPRIT, 0, 2);
    assertThat(ledger.refusal(CULPRIT)).isEmpty();
    recordCrashes(ledger, CULPRIT, 1, 2);
    assertThat(ledger.refusal(CULPRIT)).as("the same crash again").isEmpty();
    recordCrashes(ledger, CULPRIT, 2, 3);
    assertThat(ledger.refusal(CULPRIT)).contains(REFUSAL);
  }

  /** Two suspects that reach the threshold by the same crash must not protect each other. */
  @Test
  void refusesSuspectWhoseCrashesIncludeThoseOfAnother() {
    recordCrashes(ledger, SOUND, 0, 3);
    recordCrashes(ledger, CULPRIT, 0, 3);
    assertThat(ledger.refusedCount()).isEqualTo(1);
    recordCrashes(ledger, CULPRIT, 3, 4);
    assertThat(ledger.refusal(CULPRIT)).isPresent();
    assertThat(ledger.refusal(SOUND)).isEmpty();
  }

  @Test
  void successRevokesRefusalAndCoversCrashesShortlyAfterIt() {
    recordCrashes(ledger, SOUND, 0, 3);
    assertThat(ledger.recordSuccess(SOUND)).isTrue();
    assertThat(ledger.refusal(SOUND)).isEmpty();
    clock.advance(Duration.ofSeconds(30));
    recordCrashes(ledger, SOUND, 3, 6);
    assertThat(ledger.refusal(SOUND)).isEmpty();
    clock.advance(Duration.ofSeconds(31));
    recordCrashes(ledger, SOUND, 6, 9);
    assertThat(ledger.refusal(SOUND)).isPresent();
  }

  @Test
  void successAtAnotherDaemonRevokesRefusal() {
    CrashLedger other = CrashLedger.create(POLICY, clock);
    recordCrashes(ledger, SOUND, 0, 3);
    other.merge(ledger.evidence(10), 0);
    assertThat(other.refusal(SOUND)).isPresent();
    other.recordSuccess(SOUND);
    ledger.merge(List.of(other.findEvidence(SOUND).orElseThrow()), 0);
    assertThat(ledger.refusal(SOUND)).isEmpty();
  }

  @Test
  void refusalEndsByItselfAndDoublesWithTheNextCrash() {
    recordCrashes(ledger, CULPRIT, 0, 3);
    clock.advance(REFUSAL);
    assertThat(ledger.refusal(CULPRIT)).isEmpty();
    recordCrashes(ledger, CULPRIT, 3, 4);
    assertThat(ledger.refusal(CULPRIT)).contains(REFUSAL.multipliedBy(2));
    clock.advance(REFUSAL.multipliedBy(2));
    assertThat(ledger.refusal(CULPRIT)).isEmpty();
  }

  /** Daemons that repeat each other's evidence must not keep it alive. */
  @Test
  void repeatedEvidenceExpires() {
    CrashLedger other = CrashLedger.create(POLICY, clock);
    recordCrashes(ledger, CULPRIT, 0, 3);
    for (int minute = 0; minute < 30; minute++) {
      other.merge(ledger.evidence(10), 0);
      clock.advance(Duration.ofMinutes(1));
      ledger.merge(other.evidence(10), 0);
      assertThat(other.findEvidence(CULPRIT)).isPresent();
    }
    clock.advance(Duration.ofMillis(1));
    assertThat(ledger.evidence(10)).isEmpty();
    assertThat(other.evidence(10)).isEmpty();
    assertThat(ledger.isEmpty()).isTrue();
  }

  /** A refusal outlives the daemons that found its evidence. */
  @Test
  void daemonRepeatsEvidenceOfOthersOnWhatIsRefused() {
    recordCrashes(ledger, CULPRIT, 0, 3);
    recordCrashes(ledger, SOUND, 5, 7);
    CrashLedger second = CrashLedger.create(POLICY, clock);
    second.merge(ledger.evidence(10), 0);
    CrashLedger third = CrashLedger.create(POLICY, clock);
    third.merge(second.evidence(10), 0);
    assertThat(third.refusal(CULPRIT)).isPresent();
    assertThat(third.findEvidence(SOUND)).isEmpty();
  }

  @Test
  void mergesToTheSameDecisionInAnyOrder() {
    Random random = new Random(7);
    List<CrashEvidence> evidence = new ArrayList<>();
    for (int i = 0; i < 200; i++) {
      evidence.add(
          new CrashEvidence(
              Suspect.request("s" + random.nextInt(8)),
              Map.of("e" + random.nextInt(20), (long) random.nextInt(100_000)),
              random.nextInt(4) == 0 ? random.nextInt(200_000) : CrashEvidence.NO_SUCCESS));
    }
    clock.advance(Duration.ofHours(1));
    for (int order = 0; order < 20; order++) {
      CrashLedger shuffled = CrashLedger.create(POLICY, clock);
      Collections.shuffle(evidence, random);
      evidence.forEach(each -> shuffled.merge(List.of(each), 0));
      ledger.merge(evidence, 0);
      for (int i = 0; i < 8; i++) {
        Suspect suspect = Suspect.request("s" + i);
        assertThat(shuffled.refusal(suspect)).isEqualTo(ledger.refusal(suspect));
      }
    }
  }

  @Test
  void keepsRefusedSuspectsWhenFull() {
    recordCrashes(ledger, CULPRIT, 0, 3);
    for (int i = 0; i < 1_000; i++) {
      ledger.recordCrash(List.of(Suspect.request("r" + i)), "f" + i);
    }
    assertThat(ledger.evidence(10_000)).hasSize(POLICY.maxSuspects());
    assertThat(ledger.refusal(CULPRIT)).isPresent();
    for (int i = 0; i < 100; i++) {
      ledger.recordCrash(List.of(CULPRIT), "g" + i);
    }
    assertThat(ledger.findEvidence(CULPRIT).orElseThrow().crashAgesMillis()).hasSizeLessThan(20);
  }

  @Test
  void refusesPromptSegmentAtTheFourthCrash() {
    recordCrashes(ledger, SEGMENT, 0, 3);
    assertThat(ledger.refusal(SEGMENT)).isEmpty();
    recordCrashes(ledger, SEGMENT, 3, 4);
    assertThat(ledger.refusal(SEGMENT)).isPresent();
  }

  /** Sound requests with the segment have run on all endpoints before these crashed. */
  @Test
  void doesNotRefusePromptSegmentThatSucceededBeforeTheCrashes() {
    ledger.recordSuccess(SEGMENT);
    recordCrashes(ledger, SEGMENT, 0, 10);
    assertThat(ledger.refusal(SEGMENT)).isEmpty();
    assertThat(ledger.evidence(10)).isEmpty();
  }

  /** Equal sound requests ran on all endpoints before these crashed at once. */
  @Test
  void doesNotRefuseRequestThatSucceededBeforeTheCrashes() {
    ledger.recordSuccess(SOUND);
    recordCrashes(ledger, SOUND, 0, 10);
    assertThat(ledger.refusal(SOUND)).isEmpty();
    clock.advance(Duration.ofMinutes(2));
    recordCrashes(ledger, SOUND, 10, 13);
    assertThat(ledger.refusal(SOUND)).isPresent();
  }

  @Test
  void successOfPromptSegmentAtAnotherDaemonIsSentToTheDaemonThatCountsCrashes() {
    CrashLedger other = CrashLedger.create(POLICY, clock);
    other.recordSuccess(SEGMENT);
    recordCrashes(ledger, SEGMENT, 0, 4);
    assertThat(other.merge(ledger.evidence(10), 0).refuted()).isTrue();
    assertThat(other.refusal(SEGMENT)).isEmpty();
    assertThat(ledger.merge(other.evidence(10), 0).refuted()).isFalse();
    assertThat(ledger.refusal(SEGMENT)).isEmpty();
    assertThat(other.merge(ledger.evidence(10), 0).refuted()).isFalse();
  }

  /** Sound segments that run beside a culprit crash as often, but not without it. */
  @Test
  void explainsCrashesOfRequestsByTheirCrashingPromptSegment() {
    recordCrashes(ledger, CULPRIT, 0, 3);
    recordCrashes(ledger, SEGMENT, 0, 4);
    assertThat(ledger.refusal(SEGMENT)).isPresent();
    assertThat(ledger.refusal(CULPRIT)).isEmpty();
  }

  /** A sound request that ran beside both culprits has more crashes than the second one. */
  @Test
  void refusesSecondCulpritInsteadOfSoundRequestThatRanBesideBoth() {
    recordCrashes(ledger, CULPRIT, 0, 7);
    recordCrashes(ledger, SEGMENT, 7, 11);
    recordCrashes(ledger, SOUND, 0, 3);
    recordCrashes(ledger, SOUND, 7, 10);
    assertThat(ledger.refusal(CULPRIT)).isPresent();
    assertThat(ledger.refusal(SEGMENT)).isPresent();
    assertThat(ledger.refusal(SOUND)).isEmpty();
  }

  @Test
  void keepsLimitedNumberOfSuccesses() {
    ledger.recordSuccess(SEGMENT);
    for (int i = 0; i < 10_000; i++) {
      ledger.recordSuccess(Suspect.promptSegment(i));
    }
    recordCrashes(ledger, SEGMENT, 0, 4);
    assertThat(ledger.refusal(SEGMENT)).isPresent();
  }
}
