package org.heatherspread.daemon.chat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.routing.PrefixHashes;

/**
 * A validated chat completion request with its model resolved. Immutable; the arrays and the tree
 * must not be modified.
 *
 * @param service service name
 * @param version model version
 * @param adapter adapter name, or empty
 * @param modelName model name in the caller's request
 * @param stream whether the caller requested a stream
 * @param includeUsage whether the stream ends with the token counts
 * @param maxTokens maximum number of response tokens
 * @param priority higher values are served first
 * @param remaining time until the deadline
 * @param preferredDomain failure domain that the caller prefers
 * @param prompt rendered prompt
 * @param body body of the caller's request
 * @param engineTree request body for an engine
 */
@SuppressWarnings("ArrayRecordComponent")
record ChatCall(
    String service,
    String version,
    String adapter,
    String modelName,
    boolean stream,
    boolean includeUsage,
    int maxTokens,
    int priority,
    Duration remaining,
    Optional<String> preferredDomain,
    byte[] prompt,
    byte[] body,
    ObjectNode engineTree) {
  private static final ObjectMapper JSON = new ObjectMapper();

  int promptTokens() {
    return PrefixHashes.estimateTokens(prompt.length);
  }

  /** Returns a copy that requests a stream. */
  ChatCall withStreaming() {
    return new ChatCall(
        service,
        version,
        adapter,
        modelName,
        true,
        includeUsage,
        maxTokens,
        priority,
        remaining,
        preferredDomain,
        prompt,
        body,
        engineTree);
  }

  /** Returns the body of an attempt that starts the response. */
  byte[] engineBody() {
    return toBytes(engineTree);
  }

  /**
   * Returns the body of an attempt that continues a response.
   *
   * @param escapedText response text so far, escaped as in a JSON string, without quotes
   * @param offset number of response tokens so far
   * @param kvId id of the imported KV cache, or empty
   */
  byte[] continuationBody(String escapedText, long offset, String kvId) {
    ObjectNode copy = engineTree.objectNode();
    copy.setAll(engineTree);
    ObjectNode continuation = copy.putObject("continue_from");
    continuation.putRawValue("text", new RawValue('"' + escapedText + '"'));
    continuation.put("offset", offset);
    if (!kvId.isEmpty()) {
      continuation.put("kv_id", kvId);
    }
    return toBytes(copy);
  }

  private static byte[] toBytes(ObjectNode node) {
    try {
      return JSON.writeValueAsBytes(node);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize JSON", e);
    }
  }
}
