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
    Set<FaultKind> alone = EnumSet.noneOf(FaultKind.class);
    for (long seed = 0; seed < 2L * FaultKind.FURTHER.size(); seed++) {
      FaultSchedule schedule = FaultSchedule.all(seed);
      assertThat(schedule.base()).isEqualTo(seed % 2 == 1);
      assertThat(schedule.further()).isNotEmpty();
      if (!schedule.base()) {
        alone.addAll(schedule.further());
      }
    }
    assertThat(alone).isEqualTo(FaultKind.FURTHER);
  }

  @Test
  void findsValidRequestsThatWereRejected() {
    RequestHistory history = new RequestHistory();
    history.recordSent(sentRequest(true, TimeUnit.MINUTES.toNanos(1)));
    history.recordResponse("id", new RequestHistory.Response(404, true, ""));
    assertThat(history.violations()).hasSize(1);
  }
}
