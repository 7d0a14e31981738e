package org.heatherspread.daemon.chat;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the caller API over real connections with fake engines that work. */
class ChatComponentTest {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final ChatFixture fixture = new ChatFixture(1);

  @AfterEach
  void close() {
    fixture.close();
  }

  @Test
  void streamHasEventIdsAndEndMarkerWithoutUsageByDefault() throws Exception {
    HttpResponse<String> response = fixture.chat(ChatFixture.chatBody(3, true));
    assertThat(response.statusCode()).isEqualTo(200);
    assertThat(response.headers().firstValue("X-Request-Id")).isPresent();
    assertThat(response.headers().firstValue("Content-Type").orElse("")).contains("event-stream");
    List<String> ids = response.body().lines().filter(line -> line.startsWith("id: ")).toList();
    assertThat(ids).containsExactly("id: 1", "id: 2", "id: 3", "id: 3", "id: 3");
    assertThat(response.body()).endsWith("data: [DONE]\n\n").doesNotContain("\"usage\"");
  }

  @Test
  void streamHasUsageWhenRequested() throws Exception {
    String body =
        ChatFixture.chatBody(2, true)
            .replaceFirst("}$", ",\"stream_options\":{\"include_usage\":true}}");
    assertThat(fixture.chat(body).body()).contains("\"cached_tokens\":2");
  }

  @Test
  void nonStreamingResponseJoinsTokens() throws Exception {
    HttpResponse<String> response = fixture.chat(ChatFixture.chatBody(5, false));
    JsonNode tree = JSON.readTree(response.body());
    assertThat(tree.at("/choices/0/message/content").asText()).isEqualTo(FakeEngine.text(5));
    assertThat(tree.at("/choices/0/finish_reason").asText()).isEqualTo("stop");
    assertThat(tree.at("/usage/prompt_tokens_details/cached_tokens").asInt()).isEqualTo(2);
    assertThat(tree.path("object").asText()).isEqualTo("chat.completion");
  }

  @Test
  void engineConnectionIsReusedAfterCompletedStream() throws Exception {
    for (int i = 0; i < 10; i++) {
      fixture.chat(ChatFixture.chatBody(2, true));
    }
    assertThat(fixture.engine(0).connections.get()).isLessThan(10);
  }

  @Test
  void listsModelsAndAdapters() throws Exception {
    HttpResponse<String> response = fixture.send(fixture.requestBuilder("/v1/models").build());
    assertThat(response.body()).contains("\"assistant\"", "assistant@v1", "assistant@v1:vets");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "{ | malformed-request",
        "[] | malformed-request",
        "{\"model\":\"assistant\"} | malformed-request",
        "{\"model\":\"assistant\",\"messages\":[]} | malformed-request",
        "{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]} | unknown-model",
        "{\"model\":\"assistant@v9\",\"messages\":[{\"role\":\"u\"}]} | unknown-model",
        "{\"model\":\"assistant:x\",\"messages\":[{\"role\":\"u\"}]} | unknown-model",
      })
  void invalidRequestIsRejectedBeforeReachingEngine(String body, String kind) throws Exception {
    HttpResponse<String> response = fixture.chat(body);
    JsonNode problem = JSON.readTree(response.body());
    assertThat(problem.path("kind").asText()).isEqualTo(kind);
    assertThat(problem.path("execution").asText()).isEqualTo("not_run");
    assertThat(fixture.engine(0).requestLog).isEmpty();
  }

  @Test
  void wrongKeyAndForbiddenServiceReachNoEngine() throws Exception {
    HttpRequest.BodyPublisher body =
        HttpRequest.BodyPublishers.ofString(ChatFixture.chatBody(1, true));
    HttpRequest.Builder call = fixture.requestBuilder("/v1/chat/completions").POST(body);
    assertThat(fixture.send(call.setHeader("Authorization", "Bearer no").build()).statusCode())
        .isEqualTo(401);
    assertThat(fixture.send(call.setHeader("Authorization", "Bearer key-2").build()).statusCode())
        .isEqualTo(403);
    assertThat(fixture.engine(0).requestLog).isEmpty();
  }

  @Test
  void oversizedBodyReachesNoEngine() throws Exception {
    String body = ChatFixture.chatBody(1, true).replace("hello", "x".repeat(9 << 20));
    assertThat(fixture.chat(body).statusCode()).isEqualTo(413);
    assertThat(fixture.engine(0).requestLog).isEmpty();
  }

  @Test
  void drainingDaemonRejectsNewRequests() throws Exception {
    fixture.component.drain(java.time.Duration.ofMillis(10)).join();
    HttpResponse<String> response = fixture.chat(ChatFixture.chatBody(1, true));
    assertThat(response.body()).contains("\"daemon-leaving\"", "\"not_run\"");
  }
}
