package org.heatherspread.daemon.chat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.util.RawValue;
import java.time.Duration;
import java.util.Optional;
import org.heatherspread.core.routing.PrefixHashes;

/**
 * A chat completion that a caller may make: checked, and with its model resolved. Immutable; the
 * arrays and the tree must not be changed.
 *
 * @param service name of the service
 * @param version the model version
 * @param adapter the adapter, or empty
 * @param modelName the model as the caller named it
 * @param stream whether the caller wants a stream
 * @param includeUsage whether the stream is to end with the token counts
 * @param maxTokens most answer tokens
 * @param priority higher is served first
 * @param remaining time in which the answer is useful
 * @param preferredDomain failure domain that the caller prefers
 * @param prompt the rendered prompt
 * @param body the body as the caller sent it
 * @param engineTree the body as an engine is to get it
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

  /** Returns a copy for a caller that wants a stream. */
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

  /** Returns the body for an attempt that begins the answer. */
  byte[] engineBody() {
    return toBytes(engineTree);
  }

  /**
   * Returns the body for an attempt that goes on with an answer.
   *
   * @param escapedText answer text so far, as the inside of a JSON string
   * @param offset answer tokens so far
   * @param kvId imported KV cache, or empty
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
      throw new IllegalStateException("a JSON tree could not be written", e);
    }
  }
}
