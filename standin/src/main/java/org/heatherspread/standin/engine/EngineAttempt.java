package org.heatherspread.standin.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.standin.answer.CompletionGenerator;

/**
 * One attempt of a request on the engine, from its arrival until its buffered events are dropped.
 *
 * <p>Not safe for use by several threads; all access is in the scheduler's thread.
 */
final class EngineAttempt {
  final CompletionRequest request;
  final long arrivalNumber;
  final long seed;
  final long[] blockHashes;
  final int sequenceTokens;
  final List<StreamFrame> frames = new ArrayList<>();
  final List<StreamSubscriber> subscribers = new ArrayList<>();
  State state = State.WAITING;
  int cachedTokens;
  int remainingPrefillTokens;
  int computedPrefillTokens;
  int offset;
  long lastSentAtMillis;
  long lastReadAtMillis;
  long endedAtMillis;

  private EngineAttempt(CompletionRequest request, long arrivalNumber, long nowMillis) {
    this.request = request;
    this.arrivalNumber = arrivalNumber;
    this.seed = CompletionGenerator.seed(request.prompt());
    byte[] sequence = sequence(request);
    this.blockHashes = PrefixHashes.of(sequence);
    this.sequenceTokens = PrefixHashes.estimateTokens(sequence.length);
    this.offset = request.continueOffset();
    this.lastSentAtMillis = nowMillis;
    this.lastReadAtMillis = nowMillis;
  }

  /** Where the attempt is. */
  enum State {
    WAITING,
    RUNNING,
    FINISHED,
    CANCELLED,
    EXPORTED
  }

  static EngineAttempt create(CompletionRequest request, long arrivalNumber, long nowMillis) {
    return new EngineAttempt(request, arrivalNumber, nowMillis);
  }

  private static byte[] sequence(CompletionRequest request) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(request.prompt());
    bytes.writeBytes(request.continueText().getBytes(StandardCharsets.UTF_8));
    return bytes.toByteArray();
  }

  /** Tells whether the text that the attempt goes on from is the beginning of the true answer. */
  boolean hasValidContinuation() {
    return request.continueText().equals(CompletionGenerator.text(seed, request.continueOffset()));
  }

  boolean isActive() {
    return state == State.WAITING || state == State.RUNNING;
  }

  int promptTokens() {
    return PrefixHashes.estimateTokens(request.prompt().length);
  }

  int generatedTokens() {
    return offset - request.continueOffset();
  }

  /** Returns the tokens whose KV cache the attempt holds. */
  int kvCacheTokens() {
    return sequenceTokens + generatedTokens();
  }

  int pendingPrefillTokens() {
    return state == State.WAITING ? sequenceTokens : remainingPrefillTokens;
  }
}
