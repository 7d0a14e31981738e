package org.heatherspread.standin;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.heatherspread.standin.StandinClient.Event;
import org.heatherspread.standin.answer.CompletionGenerator;
import org.heatherspread.standin.engine.EngineSettings;
import org.heatherspread.standin.engine.EngineStandin;
import org.heatherspread.standin.http.JsonHttp;
import org.heatherspread.standin.http.StandinServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class EngineStandinTest {
  @TempDir Path dir;
  private StandinServer server;
  private StandinServer secondServer;
  private StandinClient client;
  private StandinClient secondClient;

  @BeforeEach
  void start() {
    server = startEngine("e1", true);
    secondServer = startEngine("e2", false);
    client = new StandinClient(server.port());
    secondClient = new StandinClient(secondServer.port());
  }

  @AfterEach
  void stop() {
    server.close();
    secondServer.close();
  }

  private StandinServer startEngine(String id, boolean checksFencing) {
    ExecutionLog executionLog = ExecutionLog.open(dir.resolve(id));
    EngineSettings settings =
        new EngineSettings(
            id,
            1,
            List.of("*"),
            2,
            4,
            16,
            64,
            4_096,
            64,
            1_024,
            1_000_000_000L,
            0,
            checksFencing,
            50,
            0,
            0,
            1);
    return StandinServer.start(
        "127.0.0.1", 0, s -> EngineStandin.create(s, settings, executionLog));
  }

  @Test
  void completionDependsOnlyOnPrompt() throws Exception {
    List<Event> events =
        StandinClient.parseEvents(client.sendChat("r1", 1, "Summary", 9, "").body());
    assertThat(StandinClient.joinTokens(events))
        .isEqualTo(CompletionGenerator.text(StandinClient.seedOf("Summary"), 9));
    assertThat(events.get(0).id()).isEqualTo("r1:1:1");
    assertThat(events.get(events.size() - 1)).isEqualTo(new Event("r1:1:9", "[DONE]"));
    assertThat(Files.readAllLines(dir.resolve("e1"))).hasSize(2);
  }

  @Test
  void finishedStreamIsReplayedAfterOffset() throws Exception {
    client.sendChat("r1", 1, "Summary", 9, "");
    String replay = client.send("GET", "/v1/streams/r1?attempt=1&offset=7", "").body();
    List<Event> events = StandinClient.parseEvents(replay);
    assertThat(events).extracting(Event::id).startsWith("r1:1:8", "r1:1:9");
    assertThat(events.get(events.size() - 1).data()).isEqualTo("[DONE]");
    assertThat(client.send("GET", "/v1/streams/r1?attempt=2&offset=7", "").statusCode())
        .isEqualTo(404);
  }

  @Test
  void continuationRequiresTextOfTheSameCompletion() throws Exception {
    String partialText = CompletionGenerator.text(StandinClient.seedOf("Summary"), 4);
    String continueFrom = ",\"continue_from\":{\"text\":\"" + partialText + "\",\"offset\":4}";
    List<Event> events =
        StandinClient.parseEvents(client.sendChat("r1", 2, "Summary", 9, continueFrom).body());
    assertThat(events.get(0).id()).isEqualTo("r1:2:5");
    assertThat(partialText + StandinClient.joinTokens(events))
        .isEqualTo(CompletionGenerator.text(StandinClient.seedOf("Summary"), 9));
    String mismatch = ",\"continue_from\":{\"text\":\"abc \",\"offset\":1}";
    assertThat(client.sendChat("r2", 2, "Summary", 9, mismatch).statusCode()).isEqualTo(400);
  }

  @Test
  void cancelledStreamEndsWithoutDoneEvent() throws Exception {
    CompletableFuture<String> stream = sendChatAsync("r1", "Summary", 3_000);
    awaitStarted("e1");
    assertThat(client.sendJson("DELETE", "/v1/streams/r1", "").path("cancelled").asInt())
        .isEqualTo(1);
    assertThat(stream.join()).doesNotContain("[DONE]");
  }

  @Test
  void importedKvCacheAvoidsPrefill() throws Exception {
    String prompt = "long context ".repeat(100);
    CompletableFuture<String> stream = sendChatAsync("r1", prompt, 2_000);
    awaitStarted("e1");
    JsonNode kvCache = exportWhenRunning();
    List<Event> delivered = StandinClient.parseEvents(stream.join());
    String body =
        "{\"kv_id\":" + kvCache.path("kv_id") + ",\"source\":\"" + client.baseUrl() + "\"}";
    assertThat(secondClient.sendJson("POST", "/v1/kv/import", body).path("tokens").asInt())
        .isPositive();
    String text = StandinClient.joinTokens(delivered);
    String continueFrom =
        ",\"continue_from\":{\"text\":\"%s\",\"offset\":%d,\"kv_id\":%s}"
            .formatted(text, text.length() / 4, kvCache.path("kv_id"));
    String remainder =
        secondClient.sendChat("r1", 2, prompt, text.length() / 4 + 5, continueFrom).body();
    assertThat(remainder).contains("[DONE]");
    JsonNode started = JsonHttp.parse(Files.readAllBytes(copyFirstLine("e2")));
    assertThat(started.path("tokens").asInt()).isZero();
  }

  @Test
  void sharedPrefixIsServedFromCache() throws Exception {
    String prompt = "shared context ".repeat(60);
    client.sendChat("r1", 1, prompt + "one", 2, "");
    String second = client.sendChat("r2", 1, prompt + "two", 2, "").body();
    assertThat(second).contains("\"cached_tokens\":192");
    JsonNode events = client.sendJson("GET", "/v1/cache/events?after=0", "").path("events");
    assertThat(events.path(0).path("kind").asText()).isEqualTo("stored");
    assertThat(events.path(0).path("hashes")).hasSize(3);
  }

  @Test
  void staleFencingTokenIsRejectedOnlyIfChecked() throws Exception {
    String order =
        "{\"fencing\":%d,\"desired\":{\"models\":[{\"service\":\"a\",\"version\":\"%s\"}]}}";
    for (StandinClient engine : List.of(client, secondClient)) {
      engine.sendJson("POST", "/v1/orders", order.formatted(5, "v2"));
    }
    JsonNode rejected = client.sendJson("POST", "/v1/orders", order.formatted(4, "v1"));
    assertThat(rejected.path("error").asText()).isEqualTo("stale_fencing");
    assertThat(rejected.path("highest").asInt()).isEqualTo(5);
    JsonNode accepted = secondClient.sendJson("POST", "/v1/orders", order.formatted(4, "v1"));
    assertThat(accepted.at("/state/models/0/version").asText()).isEqualTo("v1");
    assertThat(accepted.at("/state/highest_fencing").asInt()).isEqualTo(5);
  }

  @Test
  void misdirectedFramesCarryForeignIds() throws Exception {
    client.sendJson("POST", "/standin/faults", "{\"crossed\":1.0}");
    List<Event> events =
        StandinClient.parseEvents(client.sendChat("r1", 1, "Summary", 4, "").body());
    long misdirected = events.stream().filter(e -> e.data().contains("zzz")).count();
    assertThat(misdirected).as("one before each token and closing event").isEqualTo(7);
    assertThat(events)
        .filteredOn(e -> e.data().contains("zzz"))
        .noneMatch(e -> e.id().matches("r1:1:[1-4]"));
  }

  @Test
  void refusedRequestIsNotExecuted() throws Exception {
    client.sendJson("POST", "/standin/faults", "{\"refuse\":true}");
    var refused = client.sendChat("r1", 1, "Summary", 4, "");
    assertThat(refused.statusCode()).isEqualTo(503);
    assertThat(refused.headers().firstValue("X-Not-Run")).contains("true");
    assertThat(Files.readString(dir.resolve("e1"))).contains("refused").doesNotContain("started");
  }

  @Test
  void repeatedAttemptIsExecutedOnce() throws Exception {
    String first = client.sendChat("r1", 1, "Summary", 4, "").body();
    assertThat(client.sendChat("r1", 1, "Summary", 4, "").body()).isEqualTo(first);
    assertThat(Files.readAllLines(dir.resolve("e1"))).hasSize(2);
  }

  @Test
  void unknownFaultIsRejected() throws Exception {
    assertThat(client.send("POST", "/standin/faults", "{\"crosed\":1}").statusCode())
        .isEqualTo(400);
  }

  private CompletableFuture<String> sendChatAsync(String id, String prompt, int tokens) {
    return CompletableFuture.supplyAsync(
        () -> {
          try {
            return client.sendChat(id, 1, prompt, tokens, "").body();
          } catch (Exception e) {
            throw new IllegalStateException(e);
          }
        });
  }

  private void awaitStarted(String instanceId) throws Exception {
    while (!Files.readString(dir.resolve(instanceId)).contains("started")) {
      Thread.sleep(1);
    }
  }

  private JsonNode exportWhenRunning() throws Exception {
    while (true) {
      JsonNode kvCache = client.sendJson("POST", "/v1/kv/export", "{\"request_id\":\"r1\"}");
      if (kvCache.has("kv_id")) {
        return kvCache;
      }
      Thread.sleep(1);
    }
  }

  private Path copyFirstLine(String instanceId) throws Exception {
    String line = Files.readAllLines(dir.resolve(instanceId)).get(0);
    return Files.writeString(dir.resolve("first"), line);
  }
}
