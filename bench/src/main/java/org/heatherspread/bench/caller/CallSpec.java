package org.heatherspread.bench.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.standin.answer.EngineAnswers;
import org.heatherspread.standin.answer.PlainAnswers;

/**
 * One call that a caller is to make, and its only right answer. Immutable.
 *
 * @param number place in the mix
 * @param kind how it is called
 * @param service service that is called
 * @param title what it is, for people
 * @param messages prompt of a chat completion
 * @param maxTokens tokens of the answer to a chat completion
 * @param path path below a plain service; unique for each write
 * @param body body of a plain call
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
  /** Copies the list, so that the record stays immutable. */
  public CallSpec {
    messages = List.copyOf(messages);
  }

  /** How a call is made. */
  public enum Kind {
    /** Streamed chat completion. */
    CHAT,
    /** Plain call that may be repeated. */
    READ,
    /** Plain call that may not be repeated, made with an execution permit. */
    WRITE_PERMIT,
    /** Plain call that may not be repeated, made with an idempotency key. */
    WRITE_KEY;

    /** Tells whether the call may not run twice. */
    public boolean isAtMostOnce() {
      return this == WRITE_PERMIT || this == WRITE_KEY;
    }
  }

  /** Returns the HTTP method. */
  public String method() {
    return kind == Kind.READ ? "GET" : "POST";
  }

  /** Returns the whole right answer. */
  public String expectedAnswer() {
    if (kind == Kind.CHAT) {
      return EngineAnswers.text(EngineAnswers.seed(PrefixHashes.render(messages)), maxTokens);
    }
    return PlainAnswers.answer(method(), path, body.getBytes(StandardCharsets.UTF_8));
  }
}
