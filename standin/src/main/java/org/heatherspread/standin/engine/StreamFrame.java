package org.heatherspread.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.apache.pekko.util.ByteString;
import org.heatherspread.standin.http.JsonHttp;

/**
 * One event of an answer stream, in the chunk format of the OpenAI-compatible interface. Immutable.
 *
 * @param offset answer tokens up to and including this event
 * @param closing whether the event comes after the last token
 * @param data the data line
 */
record StreamFrame(int offset, boolean closing, String data) {
  static final ByteString HEARTBEAT = ByteString.fromString(": heartbeat\n\n");

  static StreamFrame token(EngineRun run, String text) {
    ObjectNode chunk = chunk(run);
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    ObjectNode delta = choice.putObject("delta");
    if (run.offset == 1) {
      delta.put("role", "assistant");
    }
    delta.put("content", text);
    choice.putNull("finish_reason");
    return new StreamFrame(run.offset, false, JsonHttp.text(chunk));
  }

  static StreamFrame finish(EngineRun run) {
    ObjectNode chunk = chunk(run);
    ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
    choice.putObject("delta");
    choice.put("finish_reason", "stop");
    return new StreamFrame(run.offset, true, JsonHttp.text(chunk));
  }

  static StreamFrame usage(EngineRun run) {
    ObjectNode chunk = chunk(run);
    chunk.putArray("choices");
    ObjectNode usage = chunk.putObject("usage");
    usage.put("prompt_tokens", run.promptTokens());
    usage.put("completion_tokens", run.offset);
    usage.put("total_tokens", run.promptTokens() + run.offset);
    usage.putObject("prompt_tokens_details").put("cached_tokens", run.cachedTokens);
    return new StreamFrame(run.offset, true, JsonHttp.text(chunk));
  }

  static StreamFrame done(EngineRun run) {
    return new StreamFrame(run.offset, true, "[DONE]");
  }

  private static ObjectNode chunk(EngineRun run) {
    return JsonHttp.object()
        .put("id", "chatcmpl-" + run.call.requestId())
        .put("object", "chat.completion.chunk")
        .put("created", System.currentTimeMillis() / 1_000)
        .put("model", run.call.model());
  }

  /** Returns the event's bytes under an id. */
  ByteString bytes(String requestId, long attempt, int shownOffset) {
    return ByteString.fromString(
        "id: " + requestId + ":" + attempt + ":" + shownOffset + "\ndata: " + data + "\n\n");
  }

  /** Returns the event's bytes as the contract asks for them. */
  ByteString bytes(ChatCall call) {
    return bytes(call.requestId(), call.attempt(), offset);
  }
}
