package org.heatherspread.daemon.plain;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.record.CallState;
import org.heatherspread.daemon.plain.PlainServiceHarness.EndpointBehavior;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests calls of plain services over real HTTP and gRPC, with execution counts per request id. */
class PlainCallsTest {
  private static final ObjectMapper MAPPER = new ObjectMapper();
  private PlainServiceHarness harness;

  @BeforeEach
  void startDaemons() throws Exception {
    harness = PlainServiceHarness.start(3);
  }

  @AfterEach
  void stopDaemons() {
    harness.close();
  }

  private JsonNode permitOwnedBy(String owner) throws Exception {
    JsonNode permits = MAPPER.readTree(harness.addresses(owner).body()).get("permits");
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

  private static String daemonOtherThan(String... excluded) {
    for (String daemonId : new String[] {"d1", "d2", "d3"}) {
      if (!List.of(excluded).contains(daemonId)) {
        return daemonId;
      }
    }
    throw new AssertionError("all daemons are excluded");
  }

  private static String kindAndExecution(HttpResponse<String> response) throws Exception {
    JsonNode body = MAPPER.readTree(response.body());
    return body.get("kind").asText() + " " + body.get("execution").asText();
  }

  @Test
  void forwardsMethodPathQueryAndBodyUnchanged() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    HttpResponse<String> response =
        harness.post("d1", "/charge/a%20b?x=1&y=%2F", "12 TL", "X-Mine", "kept", "TE", "trailers");
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.body()).isEqualTo("POST /charge/a%20b?x=1&y=%2F 12 TL");
    assertThat(harness.receivedHeaders.get(0)).containsKey("X-mine");
    assertThat(harness.receivedHeaders.get(0)).doesNotContainKeys("Authorization", "Te");
    assertThat(harness.executionsByRequestId)
        .containsOnlyKeys(response.headers().firstValue("X-Request-Id").get());
  }

  @Test
  void responseToAnotherRequestNeverReachesCaller() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.CROSS_ANSWERS);
    assertThat(kindAndExecution(harness.post("d1", "/charge", "1")))
        .isEqualTo("outcome-unknown unknown");
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void repeatableCallIsRetriedAfterConnectionLoss() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.DROP_AFTER_RUN);
    harness.addEndpoint("e2", EndpointBehavior.ANSWER);
    for (int i = 0; i < 4; i++) {
      assertThat(harness.post("d1", "/read", "x").statusCode()).isEqualTo(200);
    }
  }

  @Test
  void nonRepeatableCallRunsOnceWhenEndpointDropsConnection() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.DROP_AFTER_RUN);
    harness.addEndpoint("e2", EndpointBehavior.DROP_AFTER_RUN);
    assertThat(kindAndExecution(harness.post("d1", "/charge", "x")))
        .isEqualTo("outcome-unknown unknown");
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void callRunsOnceAtAnotherEndpointAfterRefusalAndDeadEndpoint() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.REFUSE);
    harness.addDeadEndpoint("e2");
    harness.addEndpoint("e3", EndpointBehavior.ANSWER);
    for (int i = 1; i <= 6; i++) {
      assertThat(harness.post("d1", "/charge", "x").statusCode()).isEqualTo(200);
      assertThat(harness.executionCount()).isEqualTo(i);
    }
  }

  @Test
  void callWithoutLiveEndpointIsNotRun() throws Exception {
    harness.addDeadEndpoint("e1");
    HttpResponse<String> response = harness.post("d1", "/charge", "x");
    assertThat(kindAndExecution(response)).isEqualTo("no-endpoint not_run");
    assertThat(response.headers().firstValue("Retry-After")).isPresent();
  }

  @Test
  void poisonRequestIsRefusedByAllDaemonsAfterSecondCrash() throws Exception {
    for (String endpoint : new String[] {"e1", "e2", "e3", "e4"}) {
      harness.addEndpoint(endpoint, EndpointBehavior.CRASH_ON_POISON);
    }
    assertThat(kindAndExecution(harness.post("d1", "/read", "poison")))
        .isEqualTo("endpoints-crashed unknown");
    for (String daemon : new String[] {"d1", "d2", "d3"}) {
      assertThat(kindAndExecution(harness.post(daemon, "/read", "poison")))
          .isEqualTo("poisoned not_run");
      assertThat(harness.post(daemon, "/read", "fine").statusCode()).isEqualTo(200);
    }
    assertThat(harness.executionCount()).isEqualTo(2 + 3);
  }

  @Test
  void poisonRequestRepeatedThroughOtherDaemonsIsRefused() throws Exception {
    for (String endpoint : new String[] {"e1", "e2", "e3"}) {
      harness.addEndpoint(endpoint, EndpointBehavior.CRASH_ON_POISON);
    }
    assertThat(kindAndExecution(harness.post("d1", "/charge", "poison")))
        .isEqualTo("outcome-unknown unknown");
    assertThat(kindAndExecution(harness.post("d2", "/charge", "poison")))
        .isEqualTo("outcome-unknown unknown");
    assertThat(kindAndExecution(harness.post("d3", "/charge", "poison")))
        .isEqualTo("poisoned not_run");
    assertThat(harness.post("d3", "/charge", "12").statusCode()).isEqualTo(200);
    assertThat(harness.executionCount()).isEqualTo(3);
  }

  @Test
  void repeatedPermitReturnsStoredResponseAtEveryDaemon() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    String permitText = permit.get("permit").asText();
    for (String daemon : new String[] {"d1", "d1", "d2", "d3"}) {
      HttpResponse<String> response =
          harness.post(daemon, "/charge", "12", "X-Execution-Permit", permitText);
      assertThat(response.body()).isEqualTo("POST /charge 12");
      assertThat(response.headers().firstValue("X-Request-Id"))
          .contains(permit.get("request_id").asText());
    }
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void permitSentToAnotherDaemonFirstNeverRuns() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    String permitText = permitOwnedBy("d1").get("permit").asText();
    assertThat(
            kindAndExecution(harness.post("d2", "/charge", "12", "X-Execution-Permit", permitText)))
        .isEqualTo("request-closed not_run");
    assertThat(
            kindAndExecution(harness.post("d1", "/charge", "12", "X-Execution-Permit", permitText)))
        .isEqualTo("request-closed not_run");
    assertThat(harness.executionCount()).isZero();
  }

  @Test
  void permitOfAnotherAccountOrWithAnotherBodyIsRefused() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    String permitText = permitOwnedBy("d1").get("permit").asText();
    String other = "Bearer " + PlainServiceHarness.OTHER_KEY;
    assertThat(
            kindAndExecution(
                harness.post(
                    "d1",
                    "/charge",
                    "12",
                    "X-Execution-Permit",
                    permitText,
                    "Authorization",
                    other)))
        .isEqualTo("permit-rejected not_run");
    assertThat(harness.post("d1", "/charge", "12", "X-Execution-Permit", permitText).statusCode())
        .isEqualTo(200);
    assertThat(
            kindAndExecution(harness.post("d2", "/charge", "13", "X-Execution-Permit", permitText)))
        .isEqualTo("key-reused not_run");
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void witnessReturnsOutcomeAfterOwnerIsKilled() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    String permitText = permit.get("permit").asText();
    assertThat(harness.post("d1", "/charge", "12", "X-Execution-Permit", permitText).statusCode())
        .isEqualTo(200);
    JsonNode unused = permitOwnedBy("d1");
    harness.kill("d1");

    assertThat(harness.post("d2", "/charge", "12", "X-Execution-Permit", permitText).body())
        .isEqualTo("POST /charge 12");
    String unusedText = unused.get("permit").asText();
    assertThat(
            kindAndExecution(harness.post("d3", "/charge", "9", "X-Execution-Permit", unusedText)))
        .isEqualTo("request-closed not_run");
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void anyDaemonReturnsOutcomeToOwnAccountOnly() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    String id = harness.post("d1", "/charge", "12").headers().firstValue("X-Request-Id").get();
    for (String daemon : new String[] {"d1", "d2", "d3"}) {
      var records = harness.daemon(daemon).records().streams();
      assertThat(records.callOutcome(id, "patikoop").get().state()).isEqualTo(CallState.ANSWERED);
      assertThat(records.callOutcome(id, "oberland").get().state())
          .isEqualTo(CallState.OTHER_REQUEST);
    }
  }

  @Test
  void unreachableWitnessMeansNotRun() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    harness.kill(witnessOf(permit));
    String permitText = permit.get("permit").asText();
    assertThat(
            kindAndExecution(harness.post("d1", "/charge", "12", "X-Execution-Permit", permitText)))
        .isEqualTo("witness-unavailable not_run");
    assertThat(harness.executionCount()).isZero();
  }

  @Test
  void lostOwnerAndWitnessMeanUnknown() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    String permitText = permit.get("permit").asText();
    assertThat(harness.post("d1", "/charge", "12", "X-Execution-Permit", permitText).statusCode())
        .isEqualTo(200);
    harness.kill("d1");
    harness.kill(witnessOf(permit));
    String remaining = daemonOtherThan("d1", witnessOf(permit));
    assertThat(
            kindAndExecution(
                harness.post(remaining, "/charge", "12", "X-Execution-Permit", permitText)))
        .isEqualTo("outcome-unknown unknown");
  }

  @Test
  void stoppingWitnessHandsItsRecordsOver() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    JsonNode permit = permitOwnedBy("d1");
    String permitText = permit.get("permit").asText();
    assertThat(harness.post("d1", "/charge", "12", "X-Execution-Permit", permitText).statusCode())
        .isEqualTo(200);
    String witness = witnessOf(permit);
    harness.setHealth(witness, Health.LEAVING);
    harness.setHealth("d1", Health.LEAVING);
    harness.daemon(witness).records().drain(Duration.ofSeconds(5)).get();
    harness.kill(witness);
    harness.kill("d1");
    String remaining = daemonOtherThan("d1", witness);
    assertThat(harness.post(remaining, "/charge", "12", "X-Execution-Permit", permitText).body())
        .isEqualTo("POST /charge 12");
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void repeatedKeyReturnsStoredResponseAndOtherBodyIsRefused() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    for (String daemon : new String[] {"d1", "d2", "d3"}) {
      assertThat(harness.post(daemon, "/charge", "12", "Idempotency-Key", "k").body())
          .isEqualTo("POST /charge 12");
    }
    assertThat(kindAndExecution(harness.post("d2", "/charge", "13", "Idempotency-Key", "k")))
        .isEqualTo("key-reused not_run");
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void callThatMayHaveRunIsNeverRepeatedUnderItsKey() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.DROP_AFTER_RUN);
    for (String daemon : new String[] {"d1", "d2"}) {
      assertThat(kindAndExecution(harness.post(daemon, "/charge", "12", "Idempotency-Key", "k")))
          .isEqualTo("outcome-unknown unknown");
    }
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void callThatDidNotRunMayBeRepeatedUnderItsKey() throws Exception {
    harness.addDeadEndpoint("e1");
    assertThat(kindAndExecution(harness.post("d1", "/charge", "12", "Idempotency-Key", "k")))
        .isEqualTo("no-endpoint not_run");
    harness.setHealth("e1", Health.DEAD);
    harness.addEndpoint("e2", EndpointBehavior.ANSWER);
    assertThat(harness.post("d2", "/charge", "12", "Idempotency-Key", "k").statusCode())
        .isEqualTo(200);
    assertThat(harness.executionCount()).isEqualTo(1);
  }

  @Test
  void storeOutageMeansNotRunWithRetryAfter() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    harness.store.setOutage(true);
    HttpResponse<String> response = harness.post("d1", "/charge", "12", "Idempotency-Key", "k");
    assertThat(kindAndExecution(response)).isEqualTo("store-unavailable not_run");
    assertThat(response.headers().firstValue("Retry-After")).isPresent();
    assertThat(harness.executionCount()).isZero();
  }

  @Test
  void lostResponseToClaimIsReadBack() throws Exception {
    harness.addEndpoint("e1", EndpointBehavior.ANSWER);
    harness.store.loseResponses(1);
    assertThat(harness.post("d1", "/charge", "12", "Idempotency-Key", "k").statusCode())
        .isEqualTo(200);
    harness.store.loseWrites(1);
    assertThat(kindAndExecution(harness.post("d1", "/charge", "12", "Idempotency-Key", "k2")))
        .isEqualTo("store-unavailable not_run");
    assertThat(harness.executionCount()).isEqualTo(1);
  }
}
