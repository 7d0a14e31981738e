package org.heatherspread.relay.caller;

import org.heatherspread.core.serving.ClientLimits;

/**
 * How far a connection is with its request, and the times that limit it. Confined to its event
 * loop.
 */
final class ConnectionProgress {
  /** What the connection does. */
  enum State {
    IDLE,
    READING,
    RESPONDING,
    /** The response is complete, but not yet written to the connection. */
    WRITING,
    /** The output is shut down; the caller may still be reading. */
    CLOSING,
    CLOSED
  }

  private State state = State.IDLE;
  private long headReceivedMillis;
  private long firstByteMillis = -1;
  private long idleSinceMillis;
  private long lastInputMillis;

  /** Whether a response has been written in full. */
  private boolean responded;

  /** Begins at a time. */
  void start(long nowMillis) {
    idleSinceMillis = nowMillis;
    lastInputMillis = nowMillis;
  }

  boolean is(State other) {
    return state == other;
  }

  void set(State next) {
    state = next;
  }

  /** Returns whether a response is being made or written. */
  boolean isAnswering() {
    return state == State.RESPONDING || state == State.WRITING;
  }

  /** Returns whether the next message can be processed. */
  boolean isReceiving() {
    return state == State.IDLE || state == State.READING;
  }

  /** Returns whether the output has ended. */
  boolean hasEnded() {
    return state == State.CLOSING || state == State.CLOSED;
  }

  /** Returns whether a request is being received that was not passed to its handler. */
  boolean isIncomplete() {
    return state == State.READING || state == State.IDLE && firstByteMillis >= 0;
  }

  /** Returns whether a request is being read, or its response has not been written in full. */
  boolean isRequestInProgress() {
    return state == State.READING || isAnswering();
  }

  /** Returns whether the output ended with a response that the caller may still be reading. */
  boolean hasEndedWithResponse() {
    return state == State.CLOSING && responded;
  }

  /** Returns whether nothing of a next request has been received. */
  boolean isUnused() {
    return state == State.IDLE && firstByteMillis < 0;
  }

  long headReceivedMillis() {
    return headReceivedMillis;
  }

  /** Records the time of bytes, which may start a request head. */
  void onBytes(long nowMillis) {
    lastInputMillis = nowMillis;
    if (isUnused()) {
      firstByteMillis = nowMillis;
    }
  }

  void onHead(long nowMillis) {
    headReceivedMillis = nowMillis;
    firstByteMillis = -1;
  }

  void onResponseWritten() {
    responded = true;
  }

  void onIdle(long nowMillis) {
    state = State.IDLE;
    idleSinceMillis = nowMillis;
  }

  /** Returns how readily the connection makes room for others. */
  CallerPressure.Rank rank(long nowMillis, long stallMillis) {
    if (isAnswering()) {
      return CallerPressure.Rank.RUNNING;
    }
    if (isIncomplete() && (responded || state == State.READING)) {
      return nowMillis - lastInputMillis >= stallMillis
          ? CallerPressure.Rank.STALLED
          : CallerPressure.Rank.RECEIVING;
    }
    if (responded) {
      return CallerPressure.Rank.IDLE;
    }
    return state == State.IDLE ? CallerPressure.Rank.UNUSED : CallerPressure.Rank.ENDED;
  }

  /** Returns the time of the next check. */
  long deadlineMillis(long nowMillis, ClientLimits limits) {
    if (state == State.READING) {
      return headReceivedMillis + limits.idleTimeoutMillis();
    }
    if (state == State.WRITING) {
      return nowMillis + limits.idleTimeoutMillis();
    }
    if (firstByteMillis >= 0) {
      return firstByteMillis + limits.headerTimeoutMillis();
    }
    // Checks at least this often, as the first byte of a head does not reschedule the check.
    long nextCheckMillis = nowMillis + limits.headerTimeoutMillis();
    return Math.min(nextCheckMillis, idleSinceMillis + limits.idleTimeoutMillis());
  }

  boolean isIdleTooLong(long nowMillis, ClientLimits limits) {
    return isUnused() && nowMillis - idleSinceMillis >= limits.idleTimeoutMillis();
  }

  boolean isIncompleteTooLong(long nowMillis, ClientLimits limits) {
    return isIncomplete() && nowMillis >= deadlineMillis(nowMillis, limits);
  }
}
