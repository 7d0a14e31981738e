package org.heatherspread.daemon.plain;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.record.CallState;
import org.heatherspread.daemon.plain.PlainServiceHarness.Behaviour;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Calls of plain services over real HTTP and gRPC, against a executionsByRequestId of what truly
 * ran.
 */
class PlainCallsTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private PlainServiceHarness rig;

  @BeforeEach
  void startDaemons() throws Exception {
    rig = PlainServiceHarness.start(3);
  }

  @AfterEach
  void stopDaemons() {
    rig.close();
  }

  private JsonNode permitOwnedBy(String owner) throws Exception {
    JsonNode permits = MAPPER.readTree(rig.addresses(owner).body()).get("permits");
    for (JsonNode permit : permits) {
      if (permit.get("owner").asText().equals(owner)) {
        return permit;
      }
    }
    throw new AssertionError("no permit for " + owner + " in " + permits);
  }

  private static String witnessOf(JsonNode permit) {
    return permit.get("request_id").asText().split("~")[3];
  }

  private static String thirdDaemon(String... taken) {
    for (String each : new String[] {"d1", "d2", "d3"}) {
      if (!List.of(taken).contains(each)) {
        return each;
      }
    }
    throw new AssertionError("all are taken");
  }

  private static String kind(HttpResponse<String> response) throws Exception {
    JsonNode body = MAPPER.readTree(response.body());
    return body.get("kind").asText() + " " + body.get("execution").asText();
  }

  // ---- Passing on ----

  @Test
  void passesMethodPathQueryAndBodyOnWhole() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    HttpResponse<String> answer =
        rig.post("d1", "/charge/a%20b?x=1&y=%2F", "12 TL", "X-Mine", "kept", "TE", "trailers");
    assertThat(answer.statusCode()).isEqualTo(200);
    assertThat(answer.body()).isEqualTo("POST /charge/a%20b?x=1&y=%2F 12 TL");
    assertThat(rig.headersSeen.get(0)).containsKey("X-mine");
    assertThat(rig.headersSeen.get(0)).doesNotContainKeys("Authorization", "Te");
    assertThat(rig.executionsByRequestId)
        .containsOnlyKeys(answer.headers().firstValue("X-Request-Id").get());
  }

  @Test
  void crossedAnswerNeverReachesCaller() throws Exception {
    rig.addEndpoint("e1", Behaviour.CROSS_ANSWERS);
    assertThat(kind(rig.post("d1", "/charge", "1"))).isEqualTo("outcome-unknown unknown");
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  // ---- Retries ----

  @Test
  void repeatableCallIsSentAgainAfterBrokenConnection() throws Exception {
    rig.addEndpoint("e1", Behaviour.DROP_AFTER_RUN);
    rig.addEndpoint("e2", Behaviour.ANSWER);
    for (int i = 0; i < 4; i++) {
      assertThat(rig.post("d1", "/read", "x").statusCode()).isEqualTo(200);
    }
  }

  @Test
  void callThatMayNotBeRepeatedRunsOnceWhenEndpointDropsIt() throws Exception {
    rig.addEndpoint("e1", Behaviour.DROP_AFTER_RUN);
    rig.addEndpoint("e2", Behaviour.DROP_AFTER_RUN);
    assertThat(kind(rig.post("d1", "/charge", "x"))).isEqualTo("outcome-unknown unknown");
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  @Test
  void refusalAndDeadEndpointLeadToAnotherEndpointAndOneRun() throws Exception {
    rig.addEndpoint("e1", Behaviour.REFUSE);
    rig.addDeadEndpoint("e2");
    rig.addEndpoint("e3", Behaviour.ANSWER);
    for (int i = 1; i <= 6; i++) {
      assertThat(rig.post("d1", "/charge", "x").statusCode()).isEqualTo(200);
      assertThat(rig.executionCount()).isEqualTo(i);
    }
  }

  @Test
  void noEndpointIsNotRun() throws Exception {
    rig.addDeadEndpoint("e1");
    HttpResponse<String> answer = rig.post("d1", "/charge", "x");
    assertThat(kind(answer)).isEqualTo("no-endpoint not_run");
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
  }

  // ---- Poison ----

  @Test
  void poisonIsRefusedEverywhereAfterItsSecondCrash() throws Exception {
    for (String endpoint : new String[] {"e1", "e2", "e3", "e4"}) {
      rig.addEndpoint(endpoint, Behaviour.CRASH_ON_POISON);
    }
    assertThat(kind(rig.post("d1", "/read", "poison"))).isEqualTo("endpoints-crashed unknown");
    for (String daemon : new String[] {"d1", "d2", "d3"}) {
      assertThat(kind(rig.post(daemon, "/read", "poison"))).isEqualTo("poisoned not_run");
      assertThat(rig.post(daemon, "/read", "fine").statusCode()).isEqualTo(200);
    }
    assertThat(rig.executionCount()).isEqualTo(2 + 3);
  }

  @Test
  void poisonSentAgainThroughAnotherDaemonIsStoppedAsWell() throws Exception {
    for (String endpoint : new String[] {"e1", "e2", "e3"}) {
      rig.addEndpoint(endpoint, Behaviour.CRASH_ON_POISON);
    }
    assertThat(kind(rig.post("d1", "/charge", "poison"))).isEqualTo("outcome-unknown unknown");
    assertThat(kind(rig.post("d2", "/charge", "poison"))).isEqualTo("outcome-unknown unknown");
    assertThat(kind(rig.post("d3", "/charge", "poison"))).isEqualTo("poisoned not_run");
    assertThat(rig.post("d3", "/charge", "12").statusCode()).isEqualTo(200);
    assertThat(rig.executionCount()).isEqualTo(3);
  }

  // ---- Permits ----

  @Test
  void permitSentAgainGivesStoredAnswerAtEveryDaemon() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    String text = permit.get("permit").asText();
    for (String daemon : new String[] {"d1", "d1", "d2", "d3"}) {
      HttpResponse<String> answer = rig.post(daemon, "/charge", "12", "X-Execution-Permit", text);
      assertThat(answer.body()).isEqualTo("POST /charge 12");
      assertThat(answer.headers().firstValue("X-Request-Id"))
          .contains(permit.get("request_id").asText());
    }
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  @Test
  void permitSentElsewhereFirstIsNotRunAndNeverRuns() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    String text = permitOwnedBy("d1").get("permit").asText();
    assertThat(kind(rig.post("d2", "/charge", "12", "X-Execution-Permit", text)))
        .isEqualTo("request-closed not_run");
    assertThat(kind(rig.post("d1", "/charge", "12", "X-Execution-Permit", text)))
        .isEqualTo("request-closed not_run");
    assertThat(rig.executionCount()).isZero();
  }

  @Test
  void permitOfAnotherAccountOrWithAnotherBodyIsRefused() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    String text = permitOwnedBy("d1").get("permit").asText();
    String other = "Bearer " + PlainServiceHarness.OTHER_KEY;
    assertThat(
            kind(
                rig.post(
                    "d1", "/charge", "12", "X-Execution-Permit", text, "Authorization", other)))
        .isEqualTo("permit-rejected not_run");
    assertThat(rig.post("d1", "/charge", "12", "X-Execution-Permit", text).statusCode())
        .isEqualTo(200);
    assertThat(kind(rig.post("d2", "/charge", "13", "X-Execution-Permit", text)))
        .isEqualTo("key-reused not_run");
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  @Test
  void witnessAnswersForOwnerThatWasKilled() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    String text = permit.get("permit").asText();
    assertThat(rig.post("d1", "/charge", "12", "X-Execution-Permit", text).statusCode())
        .isEqualTo(200);
    JsonNode unused = permitOwnedBy("d1");
    rig.kill("d1");

    assertThat(rig.post("d2", "/charge", "12", "X-Execution-Permit", text).body())
        .isEqualTo("POST /charge 12");
    String unusedText = unused.get("permit").asText();
    assertThat(kind(rig.post("d3", "/charge", "9", "X-Execution-Permit", unusedText)))
        .isEqualTo("request-closed not_run");
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  @Test
  void outcomeIsToldByAnyDaemonToItsOwnAccountAlone() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    String id = rig.post("d1", "/charge", "12").headers().firstValue("X-Request-Id").get();
    for (String daemon : new String[] {"d1", "d2", "d3"}) {
      var records = rig.daemon(daemon).records().streams();
      assertThat(records.callOutcome(id, "patikoop").get().state()).isEqualTo(CallState.ANSWERED);
      assertThat(records.callOutcome(id, "oberland").get().state())
          .isEqualTo(CallState.OTHER_REQUEST);
    }
  }

  @Test
  void unreachableWitnessMeansNotRun() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    rig.kill(witnessOf(permit));
    String text = permit.get("permit").asText();
    assertThat(kind(rig.post("d1", "/charge", "12", "X-Execution-Permit", text)))
        .isEqualTo("witness-unavailable not_run");
    assertThat(rig.executionCount()).isZero();
  }

  @Test
  void bothKeepersLostMeansUnknown() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    String text = permit.get("permit").asText();
    assertThat(rig.post("d1", "/charge", "12", "X-Execution-Permit", text).statusCode())
        .isEqualTo(200);
    rig.kill("d1");
    rig.kill(witnessOf(permit));
    String left = thirdDaemon("d1", witnessOf(permit));
    assertThat(kind(rig.post(left, "/charge", "12", "X-Execution-Permit", text)))
        .isEqualTo("outcome-unknown unknown");
  }

  @Test
  void stoppedWitnessHandsItsRecordsOver() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    String text = permit.get("permit").asText();
    assertThat(rig.post("d1", "/charge", "12", "X-Execution-Permit", text).statusCode())
        .isEqualTo(200);
    String witness = witnessOf(permit);
    rig.setHealth(witness, Health.LEAVING);
    rig.setHealth("d1", Health.LEAVING);
    rig.daemon(witness).records().drain(Duration.ofSeconds(5)).get();
    rig.kill(witness);
    rig.kill("d1");
    String left = thirdDaemon("d1", witness);
    assertThat(rig.post(left, "/charge", "12", "X-Execution-Permit", text).body())
        .isEqualTo("POST /charge 12");
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  // ---- Idempotency keys ----

  @Test
  void keySentAgainGivesStoredAnswerAndOtherBodyIsRefused() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    for (String daemon : new String[] {"d1", "d2", "d3"}) {
      assertThat(rig.post(daemon, "/charge", "12", "Idempotency-Key", "k").body())
          .isEqualTo("POST /charge 12");
    }
    assertThat(kind(rig.post("d2", "/charge", "13", "Idempotency-Key", "k")))
        .isEqualTo("key-reused not_run");
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  @Test
  void keyWhoseCallMayHaveRunIsNeverRunAgain() throws Exception {
    rig.addEndpoint("e1", Behaviour.DROP_AFTER_RUN);
    for (String daemon : new String[] {"d1", "d2"}) {
      assertThat(kind(rig.post(daemon, "/charge", "12", "Idempotency-Key", "k")))
          .isEqualTo("outcome-unknown unknown");
    }
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  @Test
  void keyWhoseCallDidNotRunMayBeTriedAgain() throws Exception {
    rig.addDeadEndpoint("e1");
    assertThat(kind(rig.post("d1", "/charge", "12", "Idempotency-Key", "k")))
        .isEqualTo("no-endpoint not_run");
    rig.setHealth("e1", Health.DEAD);
    rig.addEndpoint("e2", Behaviour.ANSWER);
    assertThat(rig.post("d2", "/charge", "12", "Idempotency-Key", "k").statusCode()).isEqualTo(200);
    assertThat(rig.executionCount()).isEqualTo(1);
  }

  @Test
  void storeOutageIsNotRunWithTimeToComeBack() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    rig.store.setOutage(true);
    HttpResponse<String> answer = rig.post("d1", "/charge", "12", "Idempotency-Key", "k");
    assertThat(kind(answer)).isEqualTo("store-unavailable not_run");
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    assertThat(rig.executionCount()).isZero();
  }

  @Test
  void lostAnswerOfClaimIsReadBack() throws Exception {
    rig.addEndpoint("e1", Behaviour.ANSWER);
    rig.store.loseResponses(1);
    assertThat(rig.post("d1", "/charge", "12", "Idempotency-Key", "k").statusCode()).isEqualTo(200);
    rig.store.loseWrites(1);
    assertThat(kind(rig.post("d1", "/charge", "12", "Idempotency-Key", "k2")))
        .isEqualTo("store-unavailable not_run");
    assertThat(rig.executionCount()).isEqualTo(1);
  }
}
