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
import org.heatherspread.daemon.http.ProblemResponses;
import org.heatherspread.daemon.plain.PlainServiceHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests over real gRPC that records of model streams survive the loss of either record holder. */
class ReplicatedRequestRecordsTest {
  private PlainServiceHarness harness;

  @BeforeEach
  void startDaemons() throws Exception {
    harness = PlainServiceHarness.start(4);
  }

  @AfterEach
  void stopDaemons() {
    harness.close();
  }

  private RequestRecords records(String daemon) {
    return harness.daemon(daemon).records().streams();
  }

  private RecordHandle openAt(String daemon) throws Exception {
    RequestDescriptor request =
        new RequestDescriptor(
            "patikoop",
            "assistant",
            "v1",
            "prompt".getBytes(StandardCharsets.UTF_8),
            true,
            Instant.now().plusSeconds(60));
    return records(daemon).open(request).get();
  }

  private static String witnessOf(RecordHandle handle) {
    return RequestId.parse(handle.requestId()).orElseThrow().witness().id();
  }

  private static List<String> daemonsExcept(String... excluded) {
    return List.of("d1", "d2", "d3", "d4").stream()
        .filter(daemonId -> !List.of(excluded).contains(daemonId))
        .toList();
  }

  private static RecordProgress progressOfAttempt(int number) {
    return new RecordProgress(
        RequestPhase.DISPATCHING, number, "e1", "http://e1", "stream", number * 10L, "text");
  }

  @Test
  void everyDaemonFindsRecordAfterOwnerIsKilled() throws Exception {
    RecordHandle handle = openAt("d1");
    handle.advance(progressOfAttempt(1)).get();
    harness.kill("d1");
    for (String daemon : daemonsExcept("d1")) {
      RequestRecord found = records(daemon).find(handle.requestId()).get().orElseThrow();
      assertThat(found.progress()).isEqualTo(progressOfAttempt(1));
      assertThat(found.request().body()).asString(StandardCharsets.UTF_8).isEqualTo("prompt");
    }
  }

  @Test
  void writesOfFormerOwnerFailAfterTakeover() throws Exception {
    RecordHandle formerHandle = openAt("d1");
    String successor = daemonsExcept("d1", witnessOf(formerHandle)).get(0);
    TakeoverResult takeover =
        records(successor).takeOver(formerHandle.requestId()).get().orElseThrow();
    assertThatThrownBy(() -> formerHandle.advance(progressOfAttempt(1)).join())
        .extracting(failure -> ProblemResponses.unwrap(failure).kind())
        .isEqualTo(ErrorKind.STREAM_CUT);
    takeover.handle().advance(progressOfAttempt(2)).get();
    assertThat(records("d1").find(formerHandle.requestId()).get().orElseThrow().progress())
        .isEqualTo(progressOfAttempt(2));
  }

  @Test
  void recordSurvivesLossOfWitnessAndThenOwner() throws Exception {
    RecordHandle handle = openAt("d1");
    String witness = witnessOf(handle);
    harness.kill(witness);
    handle.advance(progressOfAttempt(1)).get();
    harness.kill("d1");
    for (String daemon : daemonsExcept("d1", witness)) {
      assertThat(records(daemon).find(handle.requestId()).get().orElseThrow().progress())
          .isEqualTo(progressOfAttempt(1));
    }
  }

  @Test
  void stoppingWitnessHandsReplicasOver() throws Exception {
    RecordHandle handle = openAt("d1");
    handle.advance(progressOfAttempt(1)).get();
    String witness = witnessOf(handle);
    harness.setHealth(witness, Health.LEAVING);
    harness.daemon(witness).records().drain(Duration.ofSeconds(5)).get();
    harness.kill(witness);
    harness.kill("d1");
    for (String daemon : daemonsExcept("d1", witness)) {
      TakeoverResult takeover = records(daemon).takeOver(handle.requestId()).get().orElseThrow();
      assertThat(takeover.requestRecord().progress()).isEqualTo(progressOfAttempt(1));
    }
  }

  @Test
  void replicaSurvivesWhenOwnerAndWitnessLeaveTogether() throws Exception {
    RecordHandle handle = openAt("d1");
    String witness = witnessOf(handle);
    harness.setHealth("d1", Health.LEAVING);
    harness.setHealth(witness, Health.LEAVING);
    handle.handOver().get();
    harness.kill("d1");
    harness.kill(witness);
    for (String daemon : daemonsExcept("d1", witness)) {
      assertThat(records(daemon).find(handle.requestId()).get()).isPresent();
    }
  }

  @Test
  void closedRecordRetainsOutcomeWithoutBody() throws Exception {
    RecordHandle handle = openAt("d1");
    handle.close(RecordOutcome.failed(ErrorKind.CANCELLED, ErrorKind.CANCELLED.execution()));
    assertThatThrownBy(() -> handle.advance(progressOfAttempt(1)).join()).isNotNull();
    RequestRecord found = records("d1").find(handle.requestId()).get().orElseThrow();
    assertThat(found.outcome().orElseThrow().error()).contains(ErrorKind.CANCELLED);
    assertThat(found.request().body()).isEmpty();
  }

  @Test
  void unreachableHoldersAreNotReportedAsNotFound() throws Exception {
    RecordHandle handle = openAt("d1");
    String witness = witnessOf(handle);
    String remaining = daemonsExcept("d1", witness).get(0);
    harness.kill("d1");
    harness.kill(witness);
    assertThatThrownBy(() -> records(remaining).find(handle.requestId()).join())
        .extracting(failure -> ProblemResponses.unwrap(failure).kind())
        .isEqualTo(ErrorKind.RECORD_UNREACHABLE);
    assertThatThrownBy(() -> records(remaining).takeOver(handle.requestId()).join())
        .extracting(failure -> ProblemResponses.unwrap(failure).kind())
        .isEqualTo(ErrorKind.RECORD_UNREACHABLE);
  }

  @Test
  void requestIsNotAcceptedWithoutSecondDaemon() throws Exception {
    for (String daemon : daemonsExcept("d1")) {
      harness.kill(daemon);
    }
    assertThatThrownBy(() -> openAt("d1"))
        .cause()
        .isInstanceOfSatisfying(
            ServingException.class,
            failure -> assertThat(failure.kind()).isEqualTo(ErrorKind.WITNESS_UNAVAILABLE));
  }
}
