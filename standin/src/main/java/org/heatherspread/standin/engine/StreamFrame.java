package org.heatherspread.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.pekko.util.ByteString;
import org.heatherspread.standin.http.JsonHttp;

/**
 * An event of a completion stream, in the chunk format of the OpenAI-compatible API. Immutable.
 *
 * @param offset number of answer tokens up to and including this event
 * @param afterLastToken whether the event follows the last token
 * @param data payload of the data line
 */
record StreamFrame(int offset, boolean afterLastToken, String data) {
  static final ByteString HEARTBEAT = ByteString.fromString(": heartbeat\n\n");

  static StreamFrame token(EngineAttempt attempt, String text) {
    ObjectNode chunk = chunk(attempt);
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    ObjectNode delta = choice.putObject("delta");
    if (attempt.offset == 1) {
      delta.put("role", "assistant");
    }
    delta.put("content", text);
    choice.putNull("finish_reason");
    return new StreamFrame(attempt.offset, false, JsonHttp.toJson(chunk));
  }

  static StreamFrame finish(EngineAttempt attempt) {
    ObjectNode chunk = chunk(attempt);
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", "stop");
    return new StreamFrame(attempt.offset, true, JsonHttp.toJson(chunk));
  }

  static StreamFrame usage(EngineAttempt attempt) {
    ObjectNode chunk = chunk(attempt);
    chunk.putArray("choices");
    ObjectNode usage = chunk.putObject("usage");
    usage.put("prompt_tokens", attempt.promptTokens());
    usage.put("completion_tokens", attempt.offset);
    usage.put("total_tokens", attempt.promptTokens() + attempt.offset);
    usage.putObject("prompt_tokens_details").put("cached_tokens", attempt.cachedTokens);
    return new StreamFrame(attempt.offset, true, JsonHttp.toJson(chunk));
  }

  static StreamFrame done(EngineAttempt attempt) {
    return new StreamFrame(attempt.offset, true, "[DONE]");
  }

  private static ObjectNode chunk(EngineAttempt attempt) {
    return JsonHttp.newObject()
        .put("id", "chatcmpl-" + attempt.request.requestId())
        .put("object", "chat.completion.chunk")
        .put("created", System.currentTimeMillis() / 1_000)
        .put("model", attempt.request.model());
  }

  /** Encodes the event with an event id made of the given request id, attempt and offset. */
  ByteString encode(String requestId, long attemptNumber, int frameOffset) {
    return ByteString.fromString(
        "id: " + requestId + ":" + attemptNumber + ":" + frameOffset + "\ndata: " + data + "\n\n");
  }

  /** Encodes the event with its correct event id. */
  ByteString encode(CompletionRequest request) {
    return encode(request.requestId(), request.attempt(), offset);
  }
}
