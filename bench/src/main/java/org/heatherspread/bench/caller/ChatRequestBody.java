package org.heatherspread.bench.caller;

import com.fasterxml.jackson.annotation.JsonProperty;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes.Message;

/**
 * The JSON request body of a streamed chat completion. Immutable.
 *
 * @param model model name
 * @param stream whether the response is streamed
 * @param maxTokens maximum number of generated tokens
 * @param messages the prompt
 */
record ChatRequestBody(
    String model,
    boolean stream,
    @JsonProperty("max_tokens") int maxTokens,
    List<Message> messages) {
  static String toJson(CallSpec spec) {
    return CallerHttpClient.toJson(
        new ChatRequestBody(spec.service(), true, spec.maxTokens(), spec.messages()));
  }
}
