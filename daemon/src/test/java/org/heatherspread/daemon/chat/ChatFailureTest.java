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

/** Failures of engines and connections while a caller reads its answer, one test each. */
class ChatFailureTest {
  private static final Pattern CONTENT = Pattern.compile("\"content\":\"([^\"]*)\"");
  private static final int LENGTH = 20;

  private final ChatFixture fixture = new ChatFixture(2);

  @AfterEach
  void close() {
    fixture.close();
  }

  private static String text(String events) {
    StringBuilder text = new StringBuilder();
    Matcher matcher = CONTENT.matcher(events);
    while (matcher.find()) {
      text.append(matcher.group(1));
    }
    return text.toString();
  }

  private void assertWhole(HttpResponse<String> answer) {
    assertThat(text(answer.body())).isEqualTo(FakeEngine.text(LENGTH));
    assertThat(answer.body()).endsWith("data: [DONE]\n\n").doesNotContain("event: error");
  }

  private static void until(BooleanSupplier condition) throws InterruptedException {
    Instant end = Instant.now().plusSeconds(15);
    while (!condition.getAsBoolean() && Instant.now().isBefore(end)) {
      Thread.sleep(5);
    }
    assertThat(condition.getAsBoolean()).isTrue();
  }

  @Test
  void brokenConnectionIsResumedAtSameEngineByOffset() throws Exception {
    fixture.engine(0).cutAfter = 5;
    assertWhole(fixture.chat(ChatFixture.body(LENGTH, true)));
    assertThat(fixture.engine(0).ledger).containsExactly("start 1 after 0", "resume 1 after 5");
    assertThat(fixture.engine(1).ledger).isEmpty();
  }

  @Test
  void lostEngineIsContinuedElsewhereAfterDeliveredText() throws Exception {
    fixture.engine(0).cutAfter = 5;
    fixture.engine(0).forgets = true;
    assertWhole(fixture.chat(ChatFixture.body(LENGTH, true)));
    assertThat(fixture.engine(1).ledger).containsExactly("start 2 after 5");
    assertThat(fixture.counter("heatherspread.retries", "reason", "not-held")).isEqualTo(1);
    assertThat(fixture.meters.get("heatherspread.tokens.recomputed").counter().count())
        .isGreaterThan(5);
  }

  @Test
  void silentConnectionIsReplacedAndResumed() throws Exception {
    fixture.engine(0).silentAfter = 5;
    assertWhole(fixture.chat(ChatFixture.body(LENGTH, true)));
    assertThat(fixture.engine(0).ledger).containsExactly("start 1 after 0", "resume 1 after 5");
  }

  @Test
  void crossedFrameNeverReachesCaller() throws Exception {
    fixture.engine(0).crossedBefore = 4;
    assertWhole(fixture.chat(ChatFixture.body(LENGTH, true)));
    assertThat(fixture.counter("heatherspread.frames.dropped", "reason", "crossed")).isEqualTo(1);
  }

  @Test
  void refusedAttemptGoesToAnotherEngine() throws Exception {
    fixture.engine(0).refuses = true;
    assertWhole(fixture.chat(ChatFixture.body(LENGTH, true)));
    assertThat(fixture.engine(1).ledger).containsExactly("start 2 after 0");
  }

  @Test
  void requestRefusedEverywhereIsNotRunAndTrulyDidNotRun() throws Exception {
    fixture.engine(0).refuses = true;
    fixture.engine(1).refuses = true;
    HttpResponse<String> answer = fixture.chat(ChatFixture.body(LENGTH, true));
    assertThat(answer.statusCode()).isEqualTo(503);
    assertThat(answer.body()).contains("\"not_run\"");
    assertThat(answer.headers().firstValue("Retry-After")).isPresent();
    assertThat(fixture.engine(0).ledger).containsOnly("refused");
    assertThat(fixture.engine(1).ledger).containsOnly("refused");
  }

  @Test
  void leavingEngineMovesStreamWithItsCache() throws Exception {
    fixture.engine(0).pace = Duration.ofMillis(50);
    HttpResponse<InputStream> answer = open(fixture.call("/v1/chat/completions"));
    try (BufferedReader reader = reader(answer)) {
      assertThat(reader.readLine()).isEqualTo("id: 1");
      Instance leaving = fixture.engine(0).instance().withState(InstanceState.LEAVING);
      fixture.put(endingIn(leaving, Duration.ofSeconds(5)), Health.LEAVING);
      String rest = String.join("\n", reader.lines().toList());
      assertThat(text(rest)).isEqualTo(FakeEngine.text(LENGTH));
      assertThat(rest).contains("[DONE]");
    }
    assertThat(fixture.engine(0).ledger).containsExactly("start 1 after 0", "export");
    assertThat(fixture.engine(1).ledger.get(0)).isEqualTo("import kv-1");
    assertThat(fixture.engine(1).ledger.get(1)).startsWith("start 2 after").endsWith("kv-2");
    assertThat(fixture.meters.get("heatherspread.tokens.recomputed").counter().count()).isZero();
  }

  @Test
  void leavingEngineWithoutTimeForCacheIsContinuedElsewhere() throws Exception {
    fixture.engine(0).pace = Duration.ofMillis(50);
    HttpResponse<InputStream> answer = open(fixture.call("/v1/chat/completions"));
    try (BufferedReader reader = reader(answer)) {
      assertThat(reader.readLine()).isEqualTo("id: 1");
      Instance leaving = fixture.engine(0).instance().withState(InstanceState.LEAVING);
      fixture.put(endingIn(leaving, Duration.ZERO), Health.LEAVING);
      assertThat(text(String.join("\n", reader.lines().toList())))
          .isEqualTo(FakeEngine.text(LENGTH));
    }
    assertThat(fixture.engine(1).ledger).hasSize(1);
    assertThat(fixture.engine(1).ledger.get(0)).startsWith("start 2 after");
  }

  @Test
  void callerThatHangsUpFreesTheEngine() throws Exception {
    fixture.engine(0).pace = Duration.ofMillis(50);
    HttpResponse<InputStream> answer = open(fixture.call("/v1/chat/completions"));
    String id = answer.headers().firstValue("X-Request-Id").orElseThrow();
    answer.body().read();
    answer.body().close();
    until(() -> fixture.engine(0).ledger.contains("cancel " + id));
  }

  @Test
  void cancelledRequestEndsWithErrorAndFreesTheEngine() throws Exception {
    fixture.engine(0).pace = Duration.ofMillis(50);
    HttpResponse<InputStream> answer = open(fixture.call("/v1/chat/completions"));
    String id = answer.headers().firstValue("X-Request-Id").orElseThrow();
    HttpRequest cancel = fixture.call("/v1/requests/" + id).DELETE().build();
    assertThat(fixture.send(cancel).body()).contains("\"cancelled\"");
    try (BufferedReader reader = reader(answer)) {
      assertThat(String.join("\n", reader.lines().toList()))
          .contains("event: error", "\"cancelled\"")
          .doesNotContain("[DONE]");
    }
    until(() -> fixture.engine(0).ledger.contains("cancel " + id));
  }

  @Test
  void streamIsResumedAfterLastEventWithoutRunningAgain() throws Exception {
    fixture.engine(0).pace = Duration.ofMillis(20);
    HttpResponse<InputStream> first = open(fixture.call("/v1/chat/completions"));
    String id = first.headers().firstValue("X-Request-Id").orElseThrow();
    BufferedReader reader = reader(first);
    assertThat(reader.readLine()).isEqualTo("id: 1");
    HttpRequest resume =
        fixture.call("/v1/requests/" + id + "/stream").header("Last-Event-ID", "1").build();
    HttpResponse<String> rest = fixture.send(resume);
    assertThat(rest.body()).startsWith("id: 2\n").endsWith("data: [DONE]\n\n");
    assertThat(text(rest.body())).isEqualTo(FakeEngine.text(LENGTH).substring(3));
    assertThat(fixture.engine(0).ledger).filteredOn(e -> e.startsWith("start")).hasSize(1);
  }

  @Test
  void drainWaitsForStreamsInProgress() throws Exception {
    fixture.engine(0).pace = Duration.ofMillis(20);
    HttpResponse<InputStream> answer = open(fixture.call("/v1/chat/completions"));
    fixture.component.drain(Duration.ofSeconds(15)).join();
    try (BufferedReader reader = reader(answer)) {
      assertThat(String.join("\n", reader.lines().toList())).contains("[DONE]");
    }
  }

  @Test
  void drainWithoutTimeHandsOverAndLeavesTheEngineRunning() throws Exception {
    fixture.engine(0).pace = Duration.ofMillis(200);
    HttpResponse<InputStream> answer = open(fixture.call("/v1/chat/completions"));
    fixture.component.drain(Duration.ofMillis(10)).join();
    try (BufferedReader reader = reader(answer)) {
      assertThat(String.join("\n", reader.lines().toList()))
          .contains("event: error", "\"stream-cut\"", "\"elsewhere\"")
          .doesNotContain("[DONE]");
    }
    assertThat(fixture.engine(0).ledger).containsExactly("start 1 after 0");
  }

  @Test
  void otherAccountsSeeNothingOfRequest() throws Exception {
    fixture.engine(0).pace = Duration.ofMillis(50);
    HttpResponse<InputStream> answer = open(fixture.call("/v1/chat/completions"));
    String id = answer.headers().firstValue("X-Request-Id").orElseThrow();
    HttpRequest.Builder own = fixture.call("/v1/requests/" + id);
    assertThat(fixture.send(own.build()).body()).contains("\"running\"");
    HttpRequest other = own.setHeader("Authorization", "Bearer key-2").build();
    assertThat(fixture.send(other).statusCode()).isEqualTo(404);
    answer.body().close();
  }

  private HttpResponse<InputStream> open(HttpRequest.Builder call) throws Exception {
    HttpRequest request =
        call.POST(HttpRequest.BodyPublishers.ofString(ChatFixture.body(LENGTH, true))).build();
    return fixture.client().send(request, HttpResponse.BodyHandlers.ofInputStream());
  }

  private static BufferedReader reader(HttpResponse<InputStream> answer) {
    return new BufferedReader(new InputStreamReader(answer.body(), StandardCharsets.UTF_8));
  }

  private static Instance endingIn(Instance instance, Duration notice) {
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
