package org.heatherspread.standin.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.heatherspread.core.routing.PrefixHashes;
import org.heatherspread.standin.answer.EngineAnswers;

/**
 * One attempt of a request on the engine, from its arrival until its buffered events are dropped.
 *
 * <p>Not safe for use by several threads; all access is in the scheduler's thread.
 */
final class EngineRun {
  final ChatCall call;
  final long arrival;
  final long seed;
  final long[] hashes;
  final int sequenceTokens;
  final List<StreamFrame> frames = new ArrayList<>();
  final List<Subscriber> subscribers = new ArrayList<>();
  State state = State.WAITING;
  int cachedTokens;
  int prefillLeft;
  int prefillDone;
  int offset;
  long lastSentMillis;
  long lastReadMillis;
  long endedMillis;

  private EngineRun(ChatCall call, long arrival, long nowMillis) {
    this.call = call;
    this.arrival = arrival;
    this.seed = EngineAnswers.seed(call.prompt());
    byte[] sequence = sequence(call);
    this.hashes = PrefixHashes.of(sequence);
    this.sequenceTokens = PrefixHashes.estimateTokens(sequence.length);
    this.offset = call.continueOffset();
    this.lastSentMillis = nowMillis;
    this.lastReadMillis = nowMillis;
  }

  /** Where the attempt is. */
  enum State {
    WAITING,
    RUNNING,
    FINISHED,
    CANCELLED,
    EXPORTED
  }

  static EngineRun create(ChatCall call, long arrival, long nowMillis) {
    return new EngineRun(call, arrival, nowMillis);
  }

  private static byte[] sequence(ChatCall call) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    bytes.writeBytes(call.prompt());
    bytes.writeBytes(call.continueText().getBytes(StandardCharsets.UTF_8));
    return bytes.toByteArray();
  }

  /** Tells whether the text that the attempt goes on from is the beginning of the true answer. */
  boolean continuesTrueAnswer() {
    return call.continueText().equals(EngineAnswers.text(seed, call.continueOffset()));
  }

  boolean active() {
    return state == State.WAITING || state == State.RUNNING;
  }

  int promptTokens() {
    return PrefixHashes.estimateTokens(call.prompt().length);
  }

  int generated() {
    return offset - call.continueOffset();
  }

  /** Returns the tokens whose KV cache the attempt holds. */
  int heldTokens() {
    return sequenceTokens + generated();
  }

  int waitingTokens() {
    return state == State.WAITING ? sequenceTokens : prefillLeft;
  }
}
