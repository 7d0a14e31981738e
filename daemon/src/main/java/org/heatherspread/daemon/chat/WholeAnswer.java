package org.heatherspread.daemon.chat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.heatherspread.core.error.ErrorKind;
import org.heatherspread.core.error.ServingException;

/**
 * Joins the events of a stream into one chat completion, for callers that do not want a stream.
 *
 * <p>Not safe for use by several threads; one for each answer.
 */
final class WholeAnswer {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String DATA = "data: ";
  private static final String END = "[DONE]";

  private final StringBuilder content = new StringBuilder();
  private final ObjectNode answer = JSON.createObjectNode();
  private JsonNode usage;
  private String finishReason;
  private boolean ended;

  private WholeAnswer() {}

  /**
   * Joins the events.
   *
   * @throws ServingException of kind {@code INTERNAL} if they are not a whole answer
   */
  static byte[] join(byte[] events, String modelName) {
    WholeAnswer whole = new WholeAnswer();
    try {
      for (String line : new String(events, StandardCharsets.UTF_8).split("\n")) {
        if (line.startsWith(DATA)) {
          whole.add(line.substring(DATA.length()));
        }
      }
      return whole.write(modelName);
    } catch (IOException e) {
      throw ServingException.of(ErrorKind.INTERNAL, "an answer could not be joined", e);
    }
  }

  private void add(String data) throws IOException {
    if (data.equals(END)) {
      ended = true;
      return;
    }
    JsonNode chunk = JSON.readTree(data);
    if (!answer.has("id")) {
      answer.set("id", chunk.path("id"));
      answer.put("object", "chat.completion");
      answer.put("created", chunk.path("created").asLong());
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

  private byte[] write(String modelName) throws IOException {
    if (!ended || finishReason == null) {
      throw ServingException.of(ErrorKind.INTERNAL, "an answer ended without its end marker");
    }
    answer.put("model", modelName);
    ObjectNode choice = answer.putArray("choices").addObject();
    choice.put("index", 0);
    choice.putObject("message").put("role", "assistant").put("content", content.toString());
    choice.put("finish_reason", finishReason);
    if (usage != null) {
      answer.set("usage", usage);
    }
    return JSON.writeValueAsBytes(answer);
  }
}
