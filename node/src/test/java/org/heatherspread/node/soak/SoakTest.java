package org.heatherspread.node.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.EnumSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs a short soak with a fixed seed, and tests the checks of {@link RequestHistory}. */
class SoakTest {
  private static final int DAEMONS = 3;
  private static final long FAULT_MILLIS = 8_000;
  private static final long COPYING_MILLIS = 5_000;

  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(longs = {1})
  void keepsAllInvariantsUnderFaults(long seed) throws Exception {
    SoakRun.Result result =
        SoakRun.run(seed, DAEMONS, FAULT_MILLIS, folder, FaultSchedule.base(seed));
    assertThat(result.broken()).isEmpty();
    assertThat(result.statuses().get(200)).isGreaterThan(100);
    assertThat(result.faults()).hasSizeGreaterThan(4);
  }

  @ParameterizedTest
  @ValueSource(longs = {1})
  void keepsPromisesIfRefusalsAreCopied(long seed) throws Exception {
    FaultSchedule schedule = FaultSchedule.only(FaultKind.REFUSALS_COPIED);
    SoakRun.Result result = SoakRun.run(seed, DAEMONS, COPYING_MILLIS, folder, schedule);
    assertThat(result.broken()).isEmpty();
    assertThat(result.statuses().get(200)).isGreaterThan(100);
    assertThat(result.faults().get(FaultKind.REFUSALS_COPIED)).isGreaterThan(1);
  }

  private static RequestHistory.SentRequest sentRequest(
      boolean repeatable, long rejectedFromNanos) {
    AccountKeys.Key key = new AccountKeys.Key("key", "acme", Long.MIN_VALUE / 2);
    key.rejectFrom(rejectedFromNanos);
    return new RequestHistory.SentRequest("id", "plain", "acme", repeatable, 1_000, key);
  }

  private static RequestHistory.Execution execution(String id, String service, String account) {
    return new RequestHistory.Execution(id, service, account, false);
  }

  @Test
  void findsRequestsExecutedTwiceOrAfterRefusal() {
    RequestHistory history = new RequestHistory();
    history.recordSent(sentRequest(false, Long.MAX_VALUE));
    history.recordExecution(execution("id", "plain", "acme"));
    history.recordResponse("id", new RequestHistory.Response(502, true, ""));
    assertThat(history.violations()).isEmpty();
    history.recordExecution(execution("id", "plain", "acme"));
    assertThat(history.violations()).hasSize(1);
    history.recordResponse("id", new RequestHistory.Response(503, true, ""));
    assertThat(history.violations()).hasSize(2);
  }

  @Test
  void findsRequestsExecutedForTheWrongServiceAccountOrKey() {
    RequestHistory history = new RequestHistory();
    history.recordSent(sentRequest(true, 500));
    history.recordExecution(execution("id", "model", "other"));
    history.recordExecution(execution("unknown", "plain", "acme"));
    history.recordExecution(new RequestHistory.Execution("id", "plain", "acme", true));
    // Wrong service, wrong account, unknown request, forwarded key, and a revoked key in both
    // executions of the request.
    assertThat(history.violations()).hasSize(6);
  }

  @Test
  void findsLostRequestsOnlyIfNoFaultIsReasonToLoseThem() {
    RequestHistory history = new RequestHistory();
    AccountKeys.Key key = new AccountKeys.Key("key", "acme", Long.MIN_VALUE / 2);
    history.recordSent(
        new RequestHistory.SentRequest("id", "plain", "acme", false, System.nanoTime(), key));
    history.recordResponse("id", new RequestHistory.Response(200, false, ""));
    history.recordLateArrival("id");
    assertThat(history.violations()).isEmpty();
    history.expectNoLoss();
    assertThat(history.violations()).hasSize(2);
    history.recordResponse("id", new RequestHistory.Response(503, true, ""));
    assertThat(history.violations()).hasSize(1);
  }

  @Test
  void permitsLossesOfRequestsSentAfterStopOfDaemon() {
    RequestHistory history = new RequestHistory();
    history.expectNoLoss();
    history.recordStop();
    AccountKeys.Key key = new AccountKeys.Key("key", "acme", Long.MIN_VALUE / 2);
    long sentNanos = System.nanoTime() + 100_000_000;
    history.recordSent(
        new RequestHistory.SentRequest("id", "plain", "acme", false, sentNanos, key));
    history.recordResponse("id", new RequestHistory.Response(0, false, ""));
    assertThat(history.violations()).isEmpty();
    history.recordResponse("id", new RequestHistory.Response(200, false, ""));
    assertThat(history.violations()).hasSize(1);
  }

  @Test
  void drawsEachFurtherKindAloneAndKeepsBaseFaults() {
    assertThat(kindsDrawnAlone(0, FaultKind.FURTHER_OF_EARLIER_SEEDS.size()))
        .isEqualTo(EnumSet.range(FaultKind.REQUESTS_SENT_AHEAD, FaultKind.DUTY_HOLDER_PAUSED));
    assertThat(kindsDrawnAlone(FaultSchedule.FIRST_SEED_OF_ALL_KINDS, FaultKind.FURTHER.size()))
        .isEqualTo(FaultKind.FURTHER);
    assertThat(FaultKind.FURTHER).isEqualTo(EnumSet.complementOf(EnumSet.copyOf(FaultKind.BASE)));
  }

  @Test
  void seedsKeepTheKindsThatTheyDrewBeforeFurtherOnes() {
    assertThat(FaultSchedule.all(9_102)).isEqualTo(FaultSchedule.only(FaultKind.RELEASED_IN_PLACE));
    assertThat(FaultSchedule.all(12_000))
        .isEqualTo(FaultSchedule.only(FaultKind.LEFT_ENDPOINT_RESTORED));
    assertThat(FaultSchedule.all(15_111).further())
        .containsExactly(
            FaultKind.SLOW_READERS,
            FaultKind.STORE_RESTORED_TWICE,
            FaultKind.RELEASED_IN_PLACE,
            FaultKind.DUTY_HOLDER_PAUSED);
    assertThat(FaultSchedule.all(16_999).further())
        .containsExactly(
            FaultKind.REQUESTS_SENT_AHEAD,
            FaultKind.STORE_RESTORED_AT_START,
            FaultKind.LEFT_ENDPOINT_RESTORED,
            FaultKind.RELEASED_IN_PLACE);
  }

  /** Returns the kinds that the even seeds draw of twice as many seeds as there are kinds. */
  private static Set<FaultKind> kindsDrawnAlone(long firstSeed, int kinds) {
    Set<FaultKind> alone = EnumSet.noneOf(FaultKind.class);
    for (long seed = firstSeed; seed < firstSeed + 2L * kinds; seed++) {
      FaultSchedule schedule = FaultSchedule.all(seed);
      assertThat(schedule.base()).isEqualTo(seed % 2 == 1);
      assertThat(schedule.further()).isNotEmpty();
      if (!schedule.base()) {
        alone.addAll(schedule.further());
      }
    }
    return alone;
  }

  @Test
  void checksEachAttemptWithOneIdOnItsOwn() {
    RequestHistory history = new RequestHistory();
    AccountKeys.Key key = new AccountKeys.Key("key", "acme", Long.MIN_VALUE / 2);
    for (int repetition = 0; repetition < 2; repetition++) {
      String attempt = RequestHistory.attempt("id", repetition);
      history.recordSent(
          new RequestHistory.SentRequest(attempt, "plain", "acme", false, 1_000, key));
    }
    history.recordResponse("id", new RequestHistory.Response(503, true, ""));
    history.recordExecution(execution("id#1", "plain", "acme"));
    history.recordResponse("id#1", new RequestHistory.Response(200, true, ""));
    assertThat(history.violations()).isEmpty();
    history.recordExecution(execution("id#1", "plain", "acme"));
    assertThat(history.violations()).hasSize(1);
    history.recordExecution(execution("id", "plain", "acme"));
    assertThat(history.violations()).hasSize(2);
  }

  @Test
  void findsValidRequestsThatWereRejected() {
    RequestHistory history = new RequestHistory();
    history.recordSent(sentRequest(true, TimeUnit.MINUTES.toNanos(1)));
    history.recordResponse("id", new RequestHistory.Response(404, true, ""));
    assertThat(history.violations()).hasSize(1);
  }
}
