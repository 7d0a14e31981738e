package org.heatherspread.daemon.chat;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.heatherspread.core.membership.Health;
import org.heatherspread.core.model.Instance;
import org.heatherspread.core.model.InstanceState;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests failures of engines and connections while a caller reads its response. */
class ChatFailureTest {
  private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");
  private static final int TOKENS = 20;

  private final ChatFixture fixture = new ChatFixture(2);

  @AfterEach
  void close() {
    fixture.close();
  }

  private static String contentOf(String events) {
    StringBuilder text = new StringBuilder();
    Matcher matcher = CONTENT.matcher(events);
    while (matcher.find()) {
      text.append(matcher.group(1));
    }
    return text.toString();
  }

  private void assertComplete(HttpResponse<String> response) {
    assertThat(contentOf(response.body())).isEqualTo(FakeEngine.text(TOKENS));
    assertThat(response.body()).endsWith("data: [DONE]\n\n").doesNotContain("event: error");
  }

  private static void awaitTrue(BooleanSupplier condition) throws InterruptedException {
    Instant end = Instant.now().plusSeconds(15);
    while (!condition.getAsBoolean() && Instant.now().isBefore(end)) {
      Thread.sleep(5);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Test
  void lostConnectionIsResumedAtSameEngineByOffset() throws Exception {
    fixture.engine(0).disconnectAfterTokens = 5;
    assertComplete(fixture.chat(ChatFixture.chatBody(TOKENS, true)));
    assertThat(fixture.engine(0).requestLog).containsExactly("start 1 after 0", "resume 1 after 5");
    assertThat(fixture.engine(1).requestLog).isEmpty();
  }

  @Test
  void lostStreamContinuesAtOtherEngineAfterDeliveredText() throws Exception {
    fixture.engine(0).disconnectAfterTokens = 5;
    fixture.engine(0).loseStreams = true;
    assertComplete(fixture.chat(ChatFixture.chatBody(TOKENS, true)));
    assertThat(fixture.engine(1).requestLog).containsExactly("start 2 after 5");
    assertThat(fixture.counter("heatherspread.retries", "reason", "not-held")).isEqualTo(1);
    assertThat(fixture.meters.get("heatherspread.tokens.recomputed").counter().count())
        .isGreaterThan(5);
  }

  @Test
  void stalledConnectionIsReplacedAndResumed() throws Exception {
    fixture.engine(0).stallAfterTokens = 5;
    assertComplete(fixture.chat(ChatFixture.chatBody(TOKENS, true)));
    assertThat(fixture.engine(0).requestLog).containsExactly("start 1 after 0", "resume 1 after 5");
  }

  @Test
  void frameOfOtherRequestIsDropped() throws Exception {
    fixture.engine(0).foreignFrameBeforeToken = 4;
    assertComplete(fixture.chat(ChatFixture.chatBody(TOKENS, true)));
    assertThat(fixture.counter("heatherspread.frames.dropped", "reason", "crossed")).isEqualTo(1);
  }

  @Test
  void refusedAttemptIsRetriedAtOtherEngine() throws Exception {
    fixture.engine(0).refuseRequests = true;
    assertComplete(fixture.chat(ChatFixture.chatBody(TOKENS, true)));
    assertThat(fixture.engine(1).requestLog).containsExactly("start 2 after 0");
  }

  @Test
  void requestRefusedByAllEnginesIsReportedAsNotRun() throws Exception {
    fixture.engine(0).refuseRequests = true;
    fixture.engine(1).refuseRequests = true;
    HttpResponse<String> response = fixture.chat(ChatFixture.chatBody(TOKENS, true));
    assertThat(response.statusCode()).isEqualTo(503);
    assertThat(response.body()).contains("\"not_run\"");
    assertThat(response.headers().firstValue("Retry-After")).isPresent();
    assertThat(fixture.engine(0).requestLog).containsOnly("refused");
    assertThat(fixture.engine(1).requestLog).containsOnly("refused");
  }

  @Test
  void streamMovesOffLeavingEngineWithKvCache() throws Exception {
    fixture.engine(0).tokenInterval = Duration.ofMillis(50);
    HttpResponse<InputStream> response = openStream(fixture.requestBuilder("/v1/chat/completions"));
    try (BufferedReader reader = reader(response)) {
      assertThat(reader.readLine()).isEqualTo("id: 1");
      Instance leaving = fixture.engine(0).instance().withState(InstanceState.LEAVING);
      fixture.putMember(withEndIn(leaving, Duration.ofSeconds(5)), Health.LEAVING);
      String rest = String.join("\n", reader.lines().toList());
      assertThat(contentOf(rest)).isEqualTo(FakeEngine.text(TOKENS));
      assertThat(rest).contains("[DONE]");
    }
    assertThat(fixture.engine(0).requestLog).containsExactly("start 1 after 0", "export");
    assertThat(fixture.engine(1).requestLog.get(0)).isEqualTo("import kv-1");
    assertThat(fixture.engine(1).requestLog.get(1)).startsWith("start 2 after").endsWith("kv-2");
    assertThat(fixture.meters.get("heatherspread.tokens.recomputed").counter().count()).isZero();
  }

  @Test
  void streamMovesOffLeavingEngineWithoutKvCacheWhenNoticeIsTooShort() throws Exception {
    fixture.engine(0).tokenInterval = Duration.ofMillis(50);
    HttpResponse<InputStream> response = openStream(fixture.requestBuilder("/v1/chat/completions"));
    try (BufferedReader reader = reader(response)) {
      assertThat(reader.readLine()).isEqualTo("id: 1");
      Instance leaving = fixture.engine(0).instance().withState(InstanceState.LEAVING);
      fixture.putMember(withEndIn(leaving, Duration.ZERO), Health.LEAVING);
      assertThat(contentOf(String.join("\n", reader.lines().toList())))
          .isEqualTo(FakeEngine.text(TOKENS));
    }
    assertThat(fixture.engine(1).requestLog).hasSize(1);
    assertThat(fixture.engine(1).requestLog.get(0)).startsWith("start 2 after");
  }

  @Test
  void callerDisconnectCancelsAttemptAtEngine() throws Exception {
    fixture.engine(0).tokenInterval = Duration.ofMillis(50);
    HttpResponse<InputStream> response = openStream(fixture.requestBuilder("/v1/chat/completions"));
    String id = response.headers().firstValue("X-Request-Id").orElseThrow();
    response.body().read();
    response.body().close();
    awaitTrue(() -> fixture.engine(0).requestLog.contains("cancel " + id));
  }

  @Test
  void cancelledRequestEndsWithErrorAndCancelsAttempt() throws Exception {
    fixture.engine(0).tokenInterval = Duration.ofMillis(50);
    HttpResponse<InputStream> response = openStream(fixture.requestBuilder("/v1/chat/completions"));
    String id = response.headers().firstValue("X-Request-Id").orElseThrow();
    HttpRequest cancel = fixture.requestBuilder("/v1/requests/" + id).DELETE().build();
    assertThat(fixture.send(cancel).body()).contains("\"cancelled\"");
    try (BufferedReader reader = reader(response)) {
      assertThat(String.join("\n", reader.lines().toList()))
          .contains("event: error", "\"cancelled\"")
          .doesNotContain("[DONE]");
    }
    awaitTrue(() -> fixture.engine(0).requestLog.contains("cancel " + id));
  }

  @Test
  void streamResumesAfterLastEventWithoutNewAttempt() throws Exception {
    fixture.engine(0).tokenInterval = Duration.ofMillis(20);
    HttpResponse<InputStream> first = openStream(fixture.requestBuilder("/v1/chat/completions"));
    String id = first.headers().firstValue("X-Request-Id").orElseThrow();
    BufferedReader reader = reader(first);
    assertThat(reader.readLine()).isEqualTo("id: 1");
    HttpRequest resume =
        fixture
            .requestBuilder("/v1/requests/" + id + "/stream")
            .header("Last-Event-ID", "1")
            .build();
    HttpResponse<String> rest = fixture.send(resume);
    assertThat(rest.body()).startsWith("id: 2\n").endsWith("data: [DONE]\n\n");
    assertThat(contentOf(rest.body())).isEqualTo(FakeEngine.text(TOKENS).substring(3));
    assertThat(fixture.engine(0).requestLog).filteredOn(e -> e.startsWith("start")).hasSize(1);
  }

  @Test
  void drainWaitsForStreamsInProgress() throws Exception {
    fixture.engine(0).tokenInterval = Duration.ofMillis(20);
    HttpResponse<InputStream> response = openStream(fixture.requestBuilder("/v1/chat/completions"));
    fixture.component.drain(Duration.ofSeconds(15)).join();
    try (BufferedReader reader = reader(response)) {
      assertThat(String.join("\n", reader.lines().toList())).contains("[DONE]");
    }
  }

  @Test
  void drainTimeoutHandsOverWithoutCancellingAttempt() throws Exception {
    fixture.engine(0).tokenInterval = Duration.ofMillis(200);
    HttpResponse<InputStream> response = openStream(fixture.requestBuilder("/v1/chat/completions"));
    fixture.component.drain(Duration.ofMillis(10)).join();
    try (BufferedReader reader = reader(response)) {
      assertThat(String.join("\n", reader.lines().toList()))
          .contains("event: error", "\"stream-cut\"", "\"elsewhere\"")
          .doesNotContain("[DONE]");
    }
    assertThat(fixture.engine(0).requestLog).containsExactly("start 1 after 0");
  }

  @Test
  void requestIsHiddenFromOtherAccounts() throws Exception {
    fixture.engine(0).tokenInterval = Duration.ofMillis(50);
    HttpResponse<InputStream> response = openStream(fixture.requestBuilder("/v1/chat/completions"));
    String id = response.headers().firstValue("X-Request-Id").orElseThrow();
    HttpRequest.Builder own = fixture.requestBuilder("/v1/requests/" + id);
    assertThat(fixture.send(own.build()).body()).contains("\"running\"");
    HttpRequest other = own.setHeader("Authorization", "Bearer key-2").build();
    assertThat(fixture.send(other).statusCode()).isEqualTo(404);
    response.body().close();
  }

  private HttpResponse<InputStream> openStream(HttpRequest.Builder call) throws Exception {
    HttpRequest request =
        call.POST(HttpRequest.BodyPublishers.ofString(ChatFixture.chatBody(TOKENS, true))).build();
    return fixture.client().send(request, HttpResponse.BodyHandlers.ofInputStream());
  }

  private static BufferedReader reader(HttpResponse<InputStream> response) {
    return new BufferedReader(new InputStreamReader(response.body(), StandardCharsets.UTF_8));
  }

  private static Instance withEndIn(Instance instance, Duration notice) {
    return new Instance(
        instance.id(),
        instance.incarnation(),
        instance.kind(),
        instance.service(),
        instance.domain(),
        instance.host(),
        instance.port(),
        instance.peerPort(),
        instance.machineClass(),
        instance.market(),
        instance.pricePerHour(),
        instance.state(),
        Optional.of(Instant.now().plus(notice).toEpochMilli()));
  }
}
