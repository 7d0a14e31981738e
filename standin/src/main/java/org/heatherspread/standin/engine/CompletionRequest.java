package org.heatherspread.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.standin.http.BadRequestException;

/**
 * A request for a chat completion. Immutable; the prompt array must not be modified.
 *
 * @param requestId id of the request
 * @param attempt number of the attempt
 * @param idempotencyKey idempotency key of the request, or null
 * @param priority admission priority; higher values are admitted first
 * @param model name of the requested model
 * @param prompt rendered prompt
 * @param maxTokens maximum tokens of the complete answer, including those already delivered
 * @param continueText answer text already delivered
 * @param continueOffset number of answer tokens already delivered
 * @param kvId id of an imported KV cache to continue from, or empty
 */
@SuppressWarnings("ArrayRecordComponent")
record CompletionRequest(
    String requestId,
    long attempt,
    String idempotencyKey,
    long priority,
    String model,
    byte[] prompt,
    int maxTokens,
    String continueText,
    int continueOffset,
    String kvId) {
  private static final int DEFAULT_MAX_TOKENS = 128;

  /** Parses the body of a chat completion; fails with {@link BadRequestException}. */
  static CompletionRequest parse(
      String requestId, long attempt, String idempotencyKey, long priority, JsonNode body) {
    if (!body.path("stream").asBoolean(false)) {
      throw new BadRequestException("this engine answers only with a stream");
    }
    JsonNode from = body.path("continue_from");
    int maxTokens = body.path("max_tokens").asInt(DEFAULT_MAX_TOKENS);
    maxTokens = body.path("max_completion_tokens").asInt(maxTokens);
    if (maxTokens < 1) {
      throw new BadRequestException("max_tokens must be positive");
    }
    return new CompletionRequest(
        requestId,
        attempt,
        idempotencyKey,
        priority,
        body.path("model").asText(),
        PrefixHashes.render(parseMessages(body.path("messages"))),
        maxTokens,
        from.path("text").asText(""),
        from.path("offset").asInt(0),
        from.path("kv_id").asText(""));
  }

  private static List<PrefixHashes.Message> parseMessages(JsonNode array) {
    if (!array.isArray() || array.isEmpty()) {
      throw new BadRequestException("messages must be a list that is not empty");
    }
    List<PrefixHashes.Message> messages = new ArrayList<>();
    for (JsonNode m : array) {
      messages.add(
          new PrefixHashes.Message(m.path("role").asText(), textContent(m.path("content"))));
    }
    return messages;
  }

  private static String textContent(JsonNode content) {
    if (!content.isArray()) {
      return content.asText();
    }
    StringBuilder text = new StringBuilder();
    for (JsonNode part : content) {
      text.append(part.path("text").asText());
    }
    return text.toString();
  }

  /** Returns whether the attempt continues or repeats an earlier one. */
  boolean isContinuation() {
    return attempt > 1 || continueOffset > 0;
  }
}
