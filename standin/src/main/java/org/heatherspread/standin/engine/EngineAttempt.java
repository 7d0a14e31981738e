package org.heatherspread.standin.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.standin.answer.CompletionGenerator;

/**
 * An attempt of a request on the engine, with the buffered events of its stream.
 *
 * <p>Not thread-safe; confined to the thread of the scheduler.
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

  /** The execution state of an attempt. */
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

  /** Returns whether the text to continue is the beginning of the expected completion. */
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

  /** Returns the number of tokens that the KV cache of the attempt covers. */
  int kvCacheTokens() {
    return sequenceTokens + generatedTokens();
  }

  int pendingPrefillTokens() {
    return state == State.WAITING ? sequenceTokens : remainingPrefillTokens;
  }
}
