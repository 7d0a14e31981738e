package org.heatherspread.daemon.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * Assembles the events of a stream into one chat completion, for callers that did not request a
 * stream.
 *
 * <p>Not thread-safe; one instance per response.
 */
final class CompletionAssembler {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DATA_PREFIX = "data: ";
  private static final String END_MARKER = "[DONE]";

  private final StringBuilder content = new StringBuilder();
  private final ObjectNode completion = JSON.createObjectNode();
  private JsonNode usage;
  private String finishReason;
  private boolean endMarkerSeen;

  private CompletionAssembler() {}

  /**
   * Returns the chat completion as JSON.
   *
   * @throws ServingException of kind {@code INTERNAL} if the events are invalid or incomplete
   */
  static byte[] assemble(byte[] events, String modelName) {
    CompletionAssembler assembler = new CompletionAssembler();
    try {
      for (String line : new String(events, StandardCharsets.UTF_8).split("\n")) {
        if (line.startsWith(DATA_PREFIX)) {
          assembler.addChunk(line.substring(DATA_PREFIX.length()));
        }
      }
      return assembler.toJson(modelName);
    } catch (IOException e) {
      throw ServingException.of(
          ErrorKind.INTERNAL, "cannot assemble a response from its events", e);
    }
  }

  private void addChunk(String data) throws IOException {
    if (data.equals(END_MARKER)) {
      endMarkerSeen = true;
      return;
    }
    JsonNode chunk = JSON.readTree(data);
    if (!completion.has("id")) {
      completion.set("id", chunk.path("id"));
      completion.put("object", "chat.completion");
      completion.put("created", chunk.path("created").asLong());
    }
    JsonNode choice = chunk.path("choices").path(0);
    content.append(choice.path("delta").path("content").asText(""));
    if (choice.path("finish_reason").isTextual()) {
      finishReason = choice.path("finish_reason").textValue();
    }
    if (chunk.path("usage").isObject()) {
      usage = chunk.path("usage");
    }
  }

  private byte[] toJson(String modelName) throws IOException {
    if (!endMarkerSeen || finishReason == null) {
      throw ServingException.of(
          ErrorKind.INTERNAL, "stream ended without a finish reason or end marker");
    }
    completion.put("model", modelName);
    ObjectNode choice = completion.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", content.toString());
    choice.put("finish_reason", finishReason);
    if (usage != null) {
      completion.set("usage", usage);
    }
    return JSON.writeValueAsBytes(completion);
  }
}
