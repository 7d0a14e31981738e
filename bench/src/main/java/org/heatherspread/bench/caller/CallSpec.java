package org.heatherspread.bench.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.standin.answer.CompletionGenerator;
import org.heatherspread.standin.answer.PlainResponseGenerator;

/**
 * Describes one call to make and the one correct answer to it. Immutable.
 *
 * @param number position in the generated sequence
 * @param kind kind of the call
 * @param service name of the called service
 * @param title human-readable description
 * @param messages prompt of a chat completion
 * @param maxTokens number of tokens that a chat completion generates
 * @param path path below a plain service; unique among writes, so that executions can be matched to
 *     the call
 * @param body request body of a plain call
 */
public record CallSpec(
    int number,
    Kind kind,
    String service,
    String title,
    List<PrefixHashes.Message> messages,
    int maxTokens,
    String path,
    String body) {
  /** Makes a defensive copy of the list. */
  public CallSpec {
    messages = List.copyOf(messages);
  }

  /** The kind of a call. */
  public enum Kind {
    /** A streamed chat completion. */
    CHAT,
    /** A plain call that may be repeated. */
    READ,
    /** A non-repeatable plain call, sent with an execution permit. */
    WRITE_PERMIT,
    /** A non-repeatable plain call, sent with an idempotency key. */
    WRITE_KEY;

    /** Returns whether the call must not run more than once. */
    public boolean isAtMostOnce() {
      return this == WRITE_PERMIT || this == WRITE_KEY;
    }
  }

  /** Returns the HTTP method. */
  public String method() {
    return kind == Kind.READ ? "GET" : "POST";
  }

  /** Returns the complete answer that the stand-ins give to this call. */
  public String expectedAnswer() {
    if (kind == Kind.CHAT) {
      return CompletionGenerator.text(
          CompletionGenerator.seed(PrefixHashes.render(messages)), maxTokens);
    }
    return PlainResponseGenerator.generate(method(), path, body.getBytes(StandardCharsets.UTF_8));
  }
}
