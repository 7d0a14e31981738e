package org.heatherspread.relay.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.heatherspread.core.poison.CrashEvidence;
import org.heatherspread.core.poison.Fingerprints;
import org.heatherspread.core.poison.Suspect;
import org.heatherspread.relay.CountingMigrator;
import org.heatherspread.relay.FakeEndpoint;
import org.heatherspread.relay.RelayHarness;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Requests that are found to crash endpoints while they are in progress. */
class CrashingRequestPathsTest {
  private RelayHarness harness;

  @AfterEach
  void stop() {
    harness.close();
  }

  private final CountingMigrator migrator = new CountingMigrator();

  private FakeEndpoint startWithSoundEndpoint() throws Exception {
    harness = RelayHarness.start();
    FakeEndpoint endpoint =
        FakeEndpoint.start((request, connection) -> connection.respond(200, "id-1", "hello"));
    harness.register(endpoint);
    return endpoint;
  }

  /** Returns evidence of three crashes of a request without a body. */
  private static CrashEvidence evidence(String method, String target) {
    byte[] body = "".getBytes(StandardCharsets.UTF_8);
    return new CrashEvidence(
        Suspect.request(Fingerprints.ofRequest(method, target, "acme", body)),
        Map.of("a@1", 0L, "b@1", 0L, "c@1", 0L),
        CrashEvidence.NO_SUCCESS);
  }

  /** Reports three crashes of a request without a body, as another daemon does. */
  private void reportCrashes(String method, String target) throws Exception {
    CrashEvidence evidence = evidence(method, target);
    harness.onLoop(state -> state.poisonFilter().mergeEvidence(List.of(evidence), 0));
  }

  /** Reports the evidence once an attempt has begun, before its connection is open. */
  private static void reportDuringAttempt(RelayState state, CrashEvidence evidence) {
    if (state.endpoints().get("e0").orElseThrow().running() == 0) {
      state.loop().execute(() -> reportDuringAttempt(state, evidence));
      return;
    }
    state.poisonFilter().mergeEvidence(List.of(evidence), 0);
  }

  @Test
  void requestRefusedWhileItsConnectionOpensIsNotSent() throws Exception {
    FakeEndpoint endpoint = startWithSoundEndpoint();
    harness.onLoop(state -> reportDuringAttempt(state, evidence("GET", "/read/a")));
    assertThat(harness.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 503");
    assertThat(endpoint.requests()).isEmpty();
  }

  @Test
  void refusedRequestIsToldWhenTheRefusalEnds() throws Exception {
    FakeEndpoint endpoint = startWithSoundEndpoint();
    reportCrashes("GET", "/read/a");
    String response = harness.call("GET", "/read/a", "id-1");
    assertThat(response).startsWith("HTTP/1.1 503").containsPattern("(?i)retry-after: 1[12]\\d\\.");
    assertThat(endpoint.requests()).isEmpty();
    assertThat(harness.call("GET", "/read/b", "id-1")).startsWith("HTTP/1.1 200");
  }

  @Test
  void requestRefusedDuringItsFirstAttemptIsNotRetried() throws Exception {
    harness = RelayHarness.start();
    FakeEndpoint.Script script =
        (request, connection) -> {
          reportCrashes("GET", "/read/a");
          connection.reset();
        };
    FakeEndpoint first = FakeEndpoint.start(script);
    FakeEndpoint second = FakeEndpoint.start(script);
    harness.register(first, second);
    assertThat(harness.call("GET", "/read/a", "id-1")).startsWith("HTTP/1.1 502");
    assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
  }

  /** Such an answer looks complete if its endpoint crashes after an event. */
  @Test
  void answerThatEndsWithItsConnectionProvesNoSuccess() throws Exception {
    harness = RelayHarness.start();
    FakeEndpoint[] endpoint = new FakeEndpoint[1];
    endpoint[0] =
        FakeEndpoint.start(
            (request, connection) -> {
              connection.send("HTTP/1.1 200 OK\r\nAttempt-Id: id-1\r\nServer-Signature: sig\r\n");
              connection.send("\r\nid: 1\ndata: piece-1\n\n");
              endpoint[0].close();
              throw new IOException("crash");
            });
    harness.register(endpoint[0]);
    String prompt = "Prompt-Prefix: a1:50,b2:20,c3:30";
    String response = harness.call("POST", "/reply/a", "id-1", "Token-Counts: 100,20", prompt);
    assertThat(response).contains("piece-1");
    List<CrashEvidence> evidence = new ArrayList<>();
    for (int i = 0; i < 100 && evidence.isEmpty(); i++) {
      Thread.sleep(10);
      harness.onLoop(state -> evidence.addAll(state.poisonFilter().evidence()));
    }
    assertThat(evidence)
        .extracting(CrashEvidence::suspect)
        .contains(Suspect.promptSegment(0xa1), Suspect.promptSegment(0xb2))
        .doesNotContain(Suspect.promptSegment(0xc3));
  }

  @Test
  void refusedStreamIsNotMigrated() throws Exception {
    harness = RelayHarness.start(migrator);
    FakeEndpoint source = FakeEndpoint.startSlowStreams();
    FakeEndpoint target = FakeEndpoint.start((request, connection) -> connection.reset());
    harness.register(source);
    try (RelayHarness.Caller caller = harness.caller()) {
      caller.request("POST", "/reply/a", "id-1", "Connection: close");
      caller.readUntil("piece-1");
      reportCrashes("POST", "/reply/a");
      harness.registerLeaving(source, target);
      assertThat(caller.readAll()).contains("piece-2").endsWith("0\r\n\r\n");
    }
    assertThat(migrator.migrations()).isZero();
  }
}
