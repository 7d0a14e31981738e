package org.heatherspread.daemon.record;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.record.RequestId;
import org.heatherspread.core.request.RequestPhase;
import org.heatherspread.daemon.http.ProblemAnswers;
import org.heatherspread.daemon.plain.PlainServiceHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Records of model streams survive the loss of either keeper, over real gRPC. */
class ReplicatedRequestRecordsTest {
  private PlainServiceHarness rig;

  @BeforeEach
  void startDaemons() throws Exception {
    rig = PlainServiceHarness.start(4);
  }

  @AfterEach
  void stopDaemons() {
    rig.close();
  }

  private RequestRecords records(String daemon) {
    return rig.daemon(daemon).records().streams();
  }

  private RecordHandle openAt(String daemon) throws Exception {
    RequestDescriptor draft =
        new RequestDescriptor(
            "patikoop",
            "assistant",
            "v1",
            "prompt".getBytes(StandardCharsets.UTF_8),
            true,
            Instant.now().plusSeconds(60));
    return records(daemon).open(draft).get();
  }

  private static String keeperOf(RecordHandle handle) {
    return RequestId.parse(handle.requestId()).orElseThrow().witness().id();
  }

  private static List<String> others(String... named) {
    return List.of("d1", "d2", "d3", "d4").stream()
        .filter(each -> !List.of(named).contains(each))
        .toList();
  }

  private static RecordProgress attempt(int number) {
    return new RecordProgress(
        RequestPhase.DISPATCHING, number, "e1", "http://e1", "stream", number * 10L, "text");
  }

  @Test
  void everyDaemonFindsRecordAfterOwnerIsKilled() throws Exception {
    RecordHandle handle = openAt("d1");
    handle.advance(attempt(1)).get();
    rig.kill("d1");
    for (String daemon : others("d1")) {
      RequestRecord found = records(daemon).find(handle.requestId()).get().orElseThrow();
      assertThat(found.progress()).isEqualTo(attempt(1));
      assertThat(found.request().body()).asString(StandardCharsets.UTF_8).isEqualTo("prompt");
    }
  }

  @Test
  void formerOwnerIsStoppedByTakeOver() throws Exception {
    RecordHandle former = openAt("d1");
    String successor = others("d1", keeperOf(former)).get(0);
    TakeoverResult taken = records(successor).takeOver(former.requestId()).get().orElseThrow();
    assertThatThrownBy(() -> former.advance(attempt(1)).join())
        .extracting(failure -> ProblemAnswers.unwrap(failure).kind())
        .isEqualTo(ErrorKind.STREAM_CUT);
    taken.handle().advance(attempt(2)).get();
    assertThat(records("d1").find(former.requestId()).get().orElseThrow().progress())
        .isEqualTo(attempt(2));
  }

  @Test
  void recordMovesWhenItsKeeperIsKilledAndThenItsOwner() throws Exception {
    RecordHandle handle = openAt("d1");
    String keeper = keeperOf(handle);
    rig.kill(keeper);
    handle.advance(attempt(1)).get();
    rig.kill("d1");
    for (String daemon : others("d1", keeper)) {
      assertThat(records(daemon).find(handle.requestId()).get().orElseThrow().progress())
          .isEqualTo(attempt(1));
    }
  }

  @Test
  void stoppingKeeperHandsCopiesOverAndRefusesNewOnes() throws Exception {
    RecordHandle handle = openAt("d1");
    handle.advance(attempt(1)).get();
    String keeper = keeperOf(handle);
    rig.setHealth(keeper, Health.LEAVING);
    rig.daemon(keeper).records().drain(Duration.ofSeconds(5)).get();
    rig.kill(keeper);
    rig.kill("d1");
    for (String daemon : others("d1", keeper)) {
      TakeoverResult taken = records(daemon).takeOver(handle.requestId()).get().orElseThrow();
      assertThat(taken.requestRecord().progress()).isEqualTo(attempt(1));
    }
  }

  @Test
  void leavingOwnerAndKeeperOfOneWaveLeaveCopyAtDaemonThatStays() throws Exception {
    RecordHandle handle = openAt("d1");
    String keeper = keeperOf(handle);
    rig.setHealth("d1", Health.LEAVING);
    rig.setHealth(keeper, Health.LEAVING);
    handle.handOver().get();
    rig.kill("d1");
    rig.kill(keeper);
    for (String daemon : others("d1", keeper)) {
      assertThat(records(daemon).find(handle.requestId()).get()).isPresent();
    }
  }

  @Test
  void closedRecordKeepsItsOutcomeWithoutItsBody() throws Exception {
    RecordHandle handle = openAt("d1");
    handle.close(RecordOutcome.failed(ErrorKind.CANCELLED, ErrorKind.CANCELLED.execution()));
    assertThatThrownBy(() -> handle.advance(attempt(1)).join()).isNotNull();
    RequestRecord found = records("d1").find(handle.requestId()).get().orElseThrow();
    assertThat(found.outcome().orElseThrow().error()).contains(ErrorKind.CANCELLED);
    assertThat(found.request().body()).isEmpty();
  }

  @Test
  void recordOfKeepersThatDoNotAnswerIsNotToldAsNotFound() throws Exception {
    RecordHandle handle = openAt("d1");
    String keeper = keeperOf(handle);
    String left = others("d1", keeper).get(0);
    rig.kill("d1");
    rig.kill(keeper);
    assertThatThrownBy(() -> records(left).find(handle.requestId()).join())
        .extracting(failure -> ProblemAnswers.unwrap(failure).kind())
        .isEqualTo(ErrorKind.RECORD_UNREACHABLE);
    assertThatThrownBy(() -> records(left).takeOver(handle.requestId()).join())
        .extracting(failure -> ProblemAnswers.unwrap(failure).kind())
        .isEqualTo(ErrorKind.RECORD_UNREACHABLE);
  }

  @Test
  void nothingIsAcceptedWithoutSecondDaemon() throws Exception {
    for (String daemon : others("d1")) {
      rig.kill(daemon);
    }
    assertThatThrownBy(() -> openAt("d1"))
        .cause()
        .isInstanceOfSatisfying(
            ServingException.class,
            failure -> assertThat(failure.kind()).isEqualTo(ErrorKind.WITNESS_UNAVAILABLE));
  }
}
