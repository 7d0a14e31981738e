package org.heatherspread.daemon.chat;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.openai.client.OpenAIClient;
import com.openai.client.okhttp.OpenAIOkHttpClient;
import com.openai.core.http.StreamResponse;
import com.openai.errors.NotFoundException;
import com.openai.models.chat.completions.ChatCompletion;
import com.openai.models.chat.completions.ChatCompletionChunk;
import com.openai.models.chat.completions.ChatCompletionCreateParams;
import com.openai.models.models.Model;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that an unmodified OpenAI client works with a daemon. */
class OpenAiClientTest {
  private static final long CANCEL_TIMEOUT_SECONDS = 10;

  private ChatFixture fixture;
  private OpenAIClient client;

  @BeforeEach
  void connect() {
    fixture = new ChatFixture(1);
    String models = fixture.requestBuilder("/v1/models").build().uri().toString();
    client =
        OpenAIOkHttpClient.builder()
            .apiKey("key-1")
            .baseUrl(models.substring(0, models.length() - "/models".length()))
            .maxRetries(0)
            .build();
  }

  @AfterEach
  void disconnect() {
    client.close();
    fixture.close();
  }

  @Test
  void listsModels() {
    List<String> names = client.models().list().data().stream().map(Model::id).toList();
    assertThat(names).contains("assistant");
  }

  @Test
  void completesWithAndWithoutStreaming() {
    ChatCompletion completion = client.chat().completions().create(params("assistant", 4));
    String text = completion.choices().get(0).message().content().orElseThrow();
    assertThat(text).isNotEmpty();
    StringBuilder streamed = new StringBuilder();
    try (StreamResponse<ChatCompletionChunk> chunks =
        client.chat().completions().createStreaming(params("assistant", 4))) {
      chunks.stream()
          .flatMap(chunk -> chunk.choices().stream())
          .forEach(choice -> choice.delta().content().ifPresent(streamed::append));
    }
    assertThat(streamed.toString()).isEqualTo(text);
  }

  @Test
  void closingStreamCancelsAttempt() throws Exception {
    try (StreamResponse<ChatCompletionChunk> chunks =
        client.chat().completions().createStreaming(params("assistant", 100_000))) {
      Iterator<ChatCompletionChunk> iterator = chunks.stream().iterator();
      assertThat(iterator.next()).isNotNull();
    }
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(CANCEL_TIMEOUT_SECONDS);
    while (!isCancelled() && System.nanoTime() < deadlineNanos) {
      Thread.sleep(10);
    }
    assertThat(isCancelled()).isTrue();
  }

  @Test
  void unknownModelIsNotFound() {
    assertThatThrownBy(() -> client.chat().completions().create(params("nobody", 4)))
        .isInstanceOf(NotFoundException.class);
  }

  private boolean isCancelled() {
    return fixture.engine(0).requestLog.stream().anyMatch(line -> line.startsWith("cancel "));
  }

  private static ChatCompletionCreateParams params(String model, long maxTokens) {
    return ChatCompletionCreateParams.builder()
        .model(model)
        .maxTokens(maxTokens)
        .addUserMessage("hello")
        .build();
  }
}
